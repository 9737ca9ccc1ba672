/**
 * Callers of a soak, which keep using their connections until the process at the other end is gone, and record what they get.
 *
 * @module
 */
import type { ClientRequest } from 'node:http'
import type { SoakInstance } from './soak_instance.ts'
import type { SoakRequest, SoakSite } from './soak_site.ts'
import { Agent, request } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'
import { testSiteHost } from '../test_site.ts'

/** Kind of a request. */
export enum SoakRequestKind {
  Safe = 'safe',
  Unsafe = 'unsafe',
  Upload = 'upload',
  /** An upload whose body arrives slowly. */
  Slow = 'slow'
}

/** A call, with what the caller got. */
export interface SoakCall {
  /** Identifier of the attempt. */
  id: string
  /** Name of the instance. */
  instance: string
  /** Kind of the request. */
  kind: SoakRequestKind
  /** Monotonic times at which it was sent and ended, in milliseconds. */
  sentAtMs: number
  endedAtMs: number
  /** Status; `undefined` if there was no whole response. */
  status: number | undefined
  /** Header fields and body of the response. */
  headers: Record<string, unknown>
  body: string
  /** Whether a connection was established or reused, so that the request may have been read. */
  wasConnected: boolean
  /** Whether the caller gave up, so that it closed the connection itself. */
  hasGivenUp: boolean
}

/** Changes what a caller sends and gets, as a faulty program would. */
export interface SoakSabotage {
  /** Returns the instances to which the request is sent; all but the first one are sent copies of it. */
  addCopies (instance: SoakInstance, all: readonly SoakInstance[]): SoakInstance[]
  /** Changes a call that has ended. */
  changeCall (call: SoakCall): void
}

/** Options of {@linkcode runSoakCallers}. */
export interface RunSoakCallersOptions {
  /** The instances. */
  instances: readonly SoakInstance[]
  /** Monotonic time at which the callers stop, in milliseconds. */
  endMs: number
  /** The deployment, which determines the load. */
  site: SoakSite
  /** Fault that is put in between; none by default. */
  sabotage?: SoakSabotage | undefined
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

const slowParts = 20
/** Length from which the rest of a response is not kept. */
const maxKeptLength = 1_000
const longestBody = Buffer.alloc(360_000, 'x')

/**
 * Runs callers until the end, and returns all calls.
 *
 * @param options Instances, load and end
 * @returns The calls
 */
export async function runSoakCallers (options: RunSoakCallersOptions): Promise<SoakCall[]> {
  const { instances, endMs, site: { callersPerInstance, meanPauseMs, freshKinds, chooseRequest }, getRandom, sabotage } = options
  const calls: Array<Promise<SoakCall>> = []
  let count = 0
  await Promise.all(instances.flatMap(instance => Array.from({ length: callersPerInstance }, async () => {
    const agent = new Agent({ keepAlive: true, maxSockets: 2 })
    while (performance.now() < endMs) {
      await wait(-Math.log(1 - getRandom()) * meanPauseMs)
      const id = `soak-${count++}`
      const drawn = chooseRequest(getRandom)
      const [first, ...copies] = sabotage?.addCopies(instance, instances) ?? [instance]
      for (const copy of copies) sendCall(copy, { ...drawn, id, agent: new Agent() }).catch(() => {})
      calls.push(sendCall(first!, { ...drawn, id, agent: freshKinds.has(drawn.kind) ? new Agent() : agent }).then(call => {
        sabotage?.changeCall(call)
        return call
      }))
    }
  })))
  return Promise.all(calls)
}

function sendCall (instance: SoakInstance, { id, kind, affinityKey, agent, slowBodyMs, bodyBytes, timeLeftMs }: SoakRequest & { id: string, agent: Agent }): Promise<SoakCall> {
  const body = bodyBytes === 0 ? undefined : longestBody.subarray(0, bodyBytes)
  const isSlow = kind === SoakRequestKind.Slow
  const call: SoakCall = { id, instance: instance.name, kind, sentAtMs: performance.now(), endedAtMs: Infinity, status: undefined, headers: {}, body: '', wasConnected: false, hasGivenUp: false }
  return new Promise(resolve => {
    const finish = (): void => {
      clearTimeout(timer)
      call.endedAtMs = Math.min(call.endedAtMs, performance.now())
      resolve(call)
    }
    const message = request({
      ...instance.address,
      path: `/${kind}/x`,
      method: body === undefined ? 'GET' : 'POST',
      agent,
      headers: { Host: testSiteHost, 'X-Request-Id': id, 'X-Timeout-Ms': String(timeLeftMs), Cookie: `X-Affinity-Key=${affinityKey}`, ...body === undefined ? {} : { 'Content-Length': body.length } }
    }, response => {
      let text = ''
      response.on('data', (part: Buffer) => { if (text.length < maxKeptLength) text += part.toString('utf8') })
      response.on('end', () => Object.assign(call, { status: response.statusCode, headers: response.headers, body: text }))
      response.on('error', finish)
      response.on('close', finish)
    })
    const timer = setTimeout(() => {
      call.hasGivenUp = true
      message.destroy()
    }, timeLeftMs + 1_000)
    message.on('socket', socket => {
      if (!socket.connecting) call.wasConnected = true
      else socket.once('connect', () => { call.wasConnected = true })
    })
    message.on('error', finish)
    if (isSlow) writeSlowly(message, { body: body!, durationMs: slowBodyMs }).catch(() => {})
    else message.end(body)
  })
}

async function writeSlowly (message: ClientRequest, { body, durationMs }: { body: Buffer, durationMs: number }): Promise<void> {
  const partBytes = Math.ceil(body.length / slowParts)
  for (let offset = 0; offset < body.length && !message.destroyed; offset += partBytes) {
    message.write(body.subarray(offset, offset + partBytes))
    await wait(durationMs / slowParts)
  }
  if (!message.destroyed) message.end()
}
