import type { ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import test from 'ava'
import { createServer } from 'node:http'
import { connect } from 'node:net'
import { countOpenResponses, watchResponse } from './watch_response.ts'

const request = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`

test('reports the end of each pipelined response once when the connection closes', async t => {
  const ends: Array<[path: string, isWhole: boolean]> = []
  const responses = new Map<string, ServerResponse>()
  let resolveRead = (): void => {}
  let resolveEnded = (): void => {}
  const server = createServer((message, response) => {
    responses.set(message.url!, response)
    watchResponse(message, response, isWhole => {
      ends.push([message.url!, isWhole])
      if (ends.length === 4) resolveEnded()
    })
    if (responses.size === 4) resolveRead()
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const read = new Promise<void>(resolve => { resolveRead = resolve })
  const ended = new Promise<void>(resolve => { resolveEnded = resolve })
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  socket.resume().write(['/first', '/second', '/third', '/fourth'].map(request).join(''))
  await read
  responses.get('/third')!.end()
  responses.get('/first')!.end('whole', () => socket.destroy())
  await ended
  await new Promise(resolve => server.close(resolve))
  t.deepEqual(ends.sort(), [['/first', true], ['/fourth', false], ['/second', false], ['/third', false]])
})

test('counts a request with Expect: 100-continue until it is answered', async t => {
  let sendResponse = (): void => {}
  const server = createServer()
  const handled = new Promise<void>(resolve => {
    server.on('request', () => {})
    server.on('checkContinue', (message, response: ServerResponse) => {
      response.writeContinue()
      message.resume()
      sendResponse = () => response.end('done')
      resolve()
    })
  })
  const countOpen = countOpenResponses(server)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  socket.write('POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n')
  await handled
  t.is(countOpen(), 1)
  socket.write('body')
  sendResponse()
  await new Promise<void>(resolve => socket.on('data', chunk => { if (chunk.toString().includes('done')) resolve() }))
  await new Promise(resolve => setImmediate(resolve))
  t.is(countOpen(), 0)
  socket.destroy()
  await new Promise(resolve => server.close(resolve))
})

test('decrements the count once when a caller disconnects', async t => {
  const server = createServer()
  const responses: ServerResponse[] = []
  server.on('request', (_, response: ServerResponse) => responses.push(response))
  const countOpen = countOpenResponses(server)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  const [leaving, staying] = [connect(port, '127.0.0.1'), connect(port, '127.0.0.1')]
  leaving.write(request('/first'))
  staying.write(request('/second'))
  while (responses.length < 2) await new Promise(resolve => setImmediate(resolve))
  t.is(countOpen(), 2)
  leaving.destroy()
  while (countOpen() === 2) await new Promise(resolve => setImmediate(resolve))
  await new Promise(resolve => setTimeout(resolve, 20))
  t.is(countOpen(), 1)
  staying.destroy()
  await new Promise(resolve => server.close(resolve))
})
