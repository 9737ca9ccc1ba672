import type { EntryFiles } from './entry_process.ts'
import type { SocketAddress } from '@bilberryworks/steering'
import { addTroubleTest, sendBytes, timeLeftMs } from './byte_trouble.ts'
import { entryPorts } from './entry_process.ts'
import { testSiteHost } from './test_site.ts'

const chunks = '1\r\nx\r\n'.repeat(10_922)
const getCallers = ({ callers }: EntryFiles): SocketAddress => callers
const getPeers = ({ host }: EntryFiles): SocketAddress => ({ host, port: entryPorts.control })

for (const [title, path, statedMs, getAddress] of [
  ['a request that was refused', '/nowhere/x', timeLeftMs, getCallers],
  ['a request whose time has passed', '/upload/x', 150, getCallers],
  ['a call of another instance', '/v1/state', timeLeftMs, getPeers]
] as Array<[string, string, number, (files: EntryFiles) => SocketAddress]>) {
  addTroubleTest(`an instance that discards the body of ${title}, without end in chunks of one byte, serves others`, {
    count: 12,
    send: (files, { id, signal }) => sendBytes(getAddress(files), { start: `POST ${path} HTTP/1.1\r\nHost: ${testSiteHost}\r\nX-Request-Id: ${id}\r\nX-Timeout-Ms: ${statedMs}\r\nTransfer-Encoding: chunked\r\n\r\n`, repeated: chunks, signal })
  })
}
