import { addTroubleTest, sendBytes } from './byte_trouble.ts'
import { entryPorts } from './entry_process.ts'

for (const [listener, port, path] of [
  ['readiness', entryPorts.ready, '/ready'],
  ['look-ups', entryPorts.directory, '/lookup'],
  ['calls of other instances', entryPorts.control, '/v1/state']
] as Array<[string, number, string]>) {
  addTroubleTest(`an instance whose listener for ${listener} receives pipelined requests without end serves others`, {
    count: 12,
    send: ({ host }, { signal }) => sendBytes({ host, port }, { start: '', repeated: `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`.repeat(64), signal })
  })
}
