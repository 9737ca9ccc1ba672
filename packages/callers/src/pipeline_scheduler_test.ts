import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { CreatePipelineSchedulerOptions, PipelinedRequest } from './pipeline_scheduler.ts'
import test from 'ava'
import { createServer } from 'node:http'
import { connect } from 'node:net'
import { createPipelineScheduler } from './pipeline_scheduler.ts'
import { createReadTurns } from './read_turns.ts'

const pollMs = 5
const maxPolls = 1_000

interface PipelineTest extends AsyncDisposable {
  /** Requests that were received, in order, including those that were not started. */
  received: string[]
  /** Requests that were started, in order. */
  started: string[]
  socket: Socket
  /** Returns the statuses and bodies that the caller received so far. */
  readBodies: () => string[]
  /** Ends the response to a started request. */
  finish: (path: string) => void
}

async function openServer (onRequest: (message: IncomingMessage, response: ServerResponse) => void): Promise<{ server: Server, port: number }> {
  const server = createServer(onRequest)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return { server, port: (server.address() as AddressInfo).port }
}

/** Sends requests on one connection; a path that begins with `/unsafe` is not safe, one with `/last` closes the connection. */
async function startPipeline (paths: string[], options: CreatePipelineSchedulerOptions = {}): Promise<PipelineTest> {
  const scheduler = createPipelineScheduler(options)
  const [received, started]: string[][] = [[], []]
  const responses = new Map<string, ServerResponse>()
  const { server, port } = await openServer((message, response) => {
    const path = message.url!
    received!.push(path)
    if (scheduler.isClosing(message.socket)) return
    if (path.startsWith('/last')) response.shouldKeepAlive = false
    const request: PipelinedRequest = { message, response, isSafe: !path.startsWith('/unsafe'), start: () => { started!.push(path) } }
    responses.set(path, response)
    scheduler.schedule(request)
  })
  const socket = connect(port, '127.0.0.1')
  let bytes = ''
  socket.on('data', part => { bytes += part.toString() })
  socket.on('error', () => {})
  socket.write(paths.map(path => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`).join(''))
  return {
    received: received!,
    started: started!,
    socket,
    readBodies: () => [...bytes.matchAll(/<(\S+?)>/g)].map(([, path]) => path!),
    finish: path => responses.get(path)!.end(`<${path}>`),
    async [Symbol.asyncDispose] () {
      socket.destroy()
      server.closeAllConnections()
      await new Promise(resolve => server.close(resolve))
    }
  }
}

async function waitUntil (check: () => boolean): Promise<boolean> {
  for (let polls = 0; polls < maxPolls && !check(); polls++) await new Promise(resolve => setTimeout(resolve, pollMs))
  return check()
}

test('starts safe requests together and answers them in order', async t => {
  await using pipeline = await startPipeline(['/a', '/b', '/c'])
  t.true(await waitUntil(() => pipeline.started.length === 3))
  for (const path of ['/c', '/b']) pipeline.finish(path)
  await new Promise(resolve => setTimeout(resolve, 10 * pollMs))
  t.deepEqual(pipeline.readBodies(), [])
  pipeline.finish('/a')
  t.true(await waitUntil(() => pipeline.readBodies().length === 3))
  t.deepEqual(pipeline.readBodies(), ['/a', '/b', '/c'])
})

test('runs an unsafe request alone, after the requests before it', async t => {
  await using pipeline = await startPipeline(['/a', '/unsafe', '/b'])
  t.true(await waitUntil(() => pipeline.received.length === 3))
  t.deepEqual(pipeline.started, ['/a'])
  pipeline.finish('/a')
  t.true(await waitUntil(() => pipeline.started.length === 2))
  t.deepEqual(pipeline.started, ['/a', '/unsafe'])
  pipeline.finish('/unsafe')
  t.true(await waitUntil(() => pipeline.started.length === 3))
  pipeline.finish('/b')
  t.true(await waitUntil(() => pipeline.readBodies().length === 3))
})

test('starts nothing behind a response that closes the connection', async t => {
  await using pipeline = await startPipeline(['/a', '/last', '/unsafe', '/b'])
  const closed = new Promise(resolve => pipeline.socket.once('close', resolve))
  t.true(await waitUntil(() => pipeline.received.length >= 3))
  t.deepEqual(pipeline.started, ['/a', '/last'])
  for (const path of ['/last', '/a']) pipeline.finish(path)
  await closed
  t.deepEqual(pipeline.readBodies(), ['/a', '/last'])
  t.deepEqual(pipeline.started, ['/a', '/last'])
})

test('limits the requests in progress on a connection', async t => {
  const paths = Array.from({ length: 6 }, (_, index) => `/${index}`)
  await using pipeline = await startPipeline(paths, { maxStarted: 2 })
  t.true(await waitUntil(() => pipeline.received.length === 6))
  t.deepEqual(pipeline.started, ['/0', '/1'])
  for (const [index, path] of paths.entries()) {
    t.true(pipeline.started.length <= index + 2)
    t.true(await waitUntil(() => pipeline.started.includes(path)))
    pipeline.finish(path)
  }
  t.true(await waitUntil(() => pipeline.readBodies().length === 6))
  t.deepEqual(pipeline.readBodies(), paths)
})

test('stops reading from a connection with many waiting requests, and closes it after the last one that it accepted', async t => {
  const paths = Array.from({ length: 20_000 }, (_, index) => `/${index}`)
  await using pipeline = await startPipeline(paths, { maxStarted: 2, maxWaiting: 4, maxOpen: 32 })
  const closed = new Promise(resolve => pipeline.socket.once('close', resolve))
  t.true(await waitUntil(() => pipeline.started.length === 2))
  await new Promise(resolve => setTimeout(resolve, 20 * pollMs))
  // One read of at most 64 KiB, at some 35 bytes a request.
  t.true(pipeline.received.length < 2_500, String(pipeline.received.length))
  for (let index = 0; index < 32; index++) {
    t.true(await waitUntil(() => pipeline.started.length > index))
    pipeline.finish(`/${index}`)
  }
  await closed
  t.is(pipeline.started.length, 32)
  t.true(pipeline.received.length < 20_000, String(pipeline.received.length))
})

test('a connection with pipelined requests without end has one in progress while it is the turn of others', async t => {
  const turns = createReadTurns({ getNowMs: () => performance.now() })
  const paths = Array.from({ length: 2_000 }, (_, index) => `/${index}`)
  await using pipeline = await startPipeline(paths, { onPipelined: turns.countPipelined })
  t.true(await waitUntil(() => pipeline.received.length > 1_000))
  t.is(pipeline.started.length, 8)
  for (let index = 0; index < 8; index++) {
    t.is(pipeline.started.length, 8)
    pipeline.finish(`/${index}`)
    t.true(await waitUntil(() => pipeline.readBodies().length > index))
  }
  t.true(await waitUntil(() => pipeline.started.length === 9))
  await new Promise(resolve => setTimeout(resolve, 10 * pollMs))
  t.is(pipeline.started.length, 9)
})

test('some dozens of pipelined requests are started as before and answered in order', async t => {
  const turns = createReadTurns({ getNowMs: () => performance.now() })
  const paths = Array.from({ length: 48 }, (_, index) => `/${index}`)
  await using pipeline = await startPipeline(paths, { onPipelined: turns.countPipelined })
  for (const [index, path] of paths.entries()) {
    t.true(await waitUntil(() => pipeline.started.length === Math.min(48, index + 8)))
    pipeline.finish(path)
  }
  t.true(await waitUntil(() => pipeline.readBodies().length === 48))
  t.deepEqual(pipeline.readBodies(), paths)
})

test('requests one after the other on a connection are not counted as pipelined', async t => {
  let counted = 0
  await using pipeline = await startPipeline(['/0'], { onPipelined: () => { counted++ } })
  for (let index = 0; index < 200; index++) {
    t.true(await waitUntil(() => pipeline.started.length === index + 1))
    pipeline.finish(`/${index}`)
    t.true(await waitUntil(() => pipeline.readBodies().length === index + 1))
    pipeline.socket.write(`GET /${index + 1} HTTP/1.1\r\nHost: h\r\n\r\n`)
  }
  t.is(counted, 0)
})
