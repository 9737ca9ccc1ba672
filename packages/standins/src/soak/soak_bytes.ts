/**
 * Targets and callers of a soak whose bytes are costly to receive.
 *
 * @module
 */
import type { Socket } from 'node:net'
import type { SiteTarget } from '../site_target.ts'
import type { SoakInstance, TimeSpan } from './soak_instance.ts'
import { randomUUID } from 'node:crypto'
import { setMaxListeners } from 'node:events'
import { setTimeout as wait } from 'node:timers/promises'
import { createTurns, FaultyBytes, sendFaultyRequest, writeFaultyResponse } from '../faulty_senders.ts'
import { testSiteHost } from '../test_site.ts'

/** What {@linkcode applyBytesFault} applies. */
export interface BytesFault {
  /** What faulty targets or callers send. */
  bytes: FaultyBytes
  /** Duration, in milliseconds. */
  durationMs: number
  /** Number by which the targets are chosen. */
  target: number
}

/** Options of {@linkcode applyBytesFault}. */
export interface ApplyBytesFaultOptions {
  /** Instances to which faulty callers send; targets are faulty if there are none. */
  affected: SoakInstance[]
  /** All targets, by identifier. */
  targets: ReadonlyMap<string, SiteTarget>
  /** Live targets of the service that is concerned. */
  ids: string[]
  /** Times in which each target was faulty, by identifier; those of this run are added. */
  faultyTargets: Map<string, TimeSpan[]>
}

/** Memory that instances of a soak with such targets or callers may take, in megabytes. */
export const limitedMemoryMb = 350

/** Share of the targets of a service that are faulty at a time. */
const faultyShare = 0.2
const callersPerInstance = 4
const callerPauseMs = 60
const timeLeftMs = 4_000
/** These bound what the soak itself, which is one process, has to write and to read. */
const callerBytesPerSecond = 50_000_000
const targetBytesPerSecond = 150_000_000
const maxConnections = 6
/** A long body has to pass within the time of a request, so that fewer connections share the rate. */
const maxLongBodyConnections = 3
const longBodyKinds = new Set([FaultyBytes.Trailers, FaultyBytes.ChunkExtension, FaultyBytes.ChunkEnd])

/**
 * Lets a share of the targets of a service, or callers of some instances, send bytes that are costly to receive.
 *
 * @param fault What they send, and for how long
 * @param options Instances and targets; targets that are faulty already are left alone
 */
export async function applyBytesFault (fault: BytesFault, { affected, targets, ids, faultyTargets }: ApplyBytesFaultOptions): Promise<void> {
  if (affected.length > 0) await Promise.all(affected.map(instance => runFaultyCallers(instance, fault)))
  else {
    const first = fault.target % ids.length
    const chosen = [...ids.slice(first), ...ids.slice(0, first)].slice(0, Math.ceil(ids.length * faultyShare))
    const sound = chosen.filter(id => !(faultyTargets.get(id) ?? []).some(({ toMs }) => toMs === Infinity))
    await runFaultyTargets(new Map(sound.map(id => [id, targets.get(id)!])), { ...fault, faultyTargets })
  }
}

/** Lets targets respond with such bytes on some connections at a time, and closes the connections that carry them at the end. */
async function runFaultyTargets (targets: ReadonlyMap<string, SiteTarget>, { bytes, durationMs, faultyTargets }: BytesFault & Pick<ApplyBytesFaultOptions, 'faultyTargets'>): Promise<void> {
  const takeTurn = createTurns(targetBytesPerSecond)
  const max = longBodyKinds.has(bytes) ? maxLongBodyConnections : maxConnections
  const sockets = new Set<Socket>()
  const span: TimeSpan = { fromMs: performance.now(), toMs: Infinity }
  for (const [id, target] of targets) {
    faultyTargets.set(id, [...faultyTargets.get(id) ?? [], span])
    target.setResponder((socket, { head, body }) => {
      if (sockets.size >= max) return false
      sockets.add(socket)
      socket.once('close', () => sockets.delete(socket))
      writeFaultyResponse(socket, { bytes, head, body, takeTurn }).catch(() => socket.destroy())
      return true
    })
  }
  await wait(durationMs)
  for (const target of targets.values()) target.setResponder(undefined)
  for (const socket of sockets) socket.destroy()
  span.toMs = performance.now()
}

/** Sends an instance such requests on several connections, again when one has closed. */
async function runFaultyCallers ({ address }: SoakInstance, { bytes, durationMs }: BytesFault): Promise<void> {
  const takeTurn = createTurns(callerBytesPerSecond)
  const abort = new AbortController()
  setMaxListeners(0, abort.signal)
  const timer = setTimeout(() => abort.abort(), durationMs)
  const start = bytes === FaultyBytes.Messages ? 'GET /safe/x' : 'POST /upload/x'
  const head = (): string => `${start} HTTP/1.1\r\nHost: ${testSiteHost}\r\nX-Request-Id: faulty-${randomUUID()}\r\nX-Timeout-Ms: ${timeLeftMs}\r\n`
  await Promise.all(Array.from({ length: callersPerInstance }, async () => {
    while (!abort.signal.aborted) await Promise.all([sendFaultyRequest(address, { bytes, head, signal: abort.signal, takeTurn }), wait(callerPauseMs)])
  }))
  clearTimeout(timer)
}
