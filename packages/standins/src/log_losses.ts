/**
 * Finds from the logs of instances why requests were late, refused or failed.
 *
 * Reads the lines about requests that were not answered at once within their objective; those about the others are sampled.
 *
 * @module
 */
import type { LogLine } from 'bilberryctl'

/** Why a request was not answered within its objective. */
export enum LossCause {
  /** The target had not handled the object for this instance before, and is in the instance's region. */
  FirstRunNear = 'first run, near',
  /** The same at a target in another region. */
  FirstRunFar = 'first run, far',
  /** The request waited in the instance for a third of its objective or longer. */
  Waited = 'waited in the instance',
  /** More requests were at the target than it has slots. */
  TargetQueue = 'queue at the target',
  /** A single request took that long at a target in the instance's region. */
  SlowNear = 'slow target, near',
  /** The same at a target in another region. */
  SlowFar = 'slow target, far',
  /** The request was sent to more than one target. */
  Retried = 'retried',
  /** The request was refused, and has not run. */
  Refused = 'refused',
  /** It is unknown whether the request has run. */
  Unknown = 'unknown',
  /** The caller closed its connection. */
  CallerGone = 'caller gone'
}

/** Losses of a route. */
export interface RouteLosses {
  /** Name of the route. */
  route: string
  /** Number of requests by cause. */
  counts: Map<LossCause, number>
  /** Number of requests by refusal reason. */
  reasons: Map<string, number>
}

/** Losses that the logs show. */
export interface LogLosses {
  /** Losses by route. */
  routes: RouteLosses[]
  /** Number of lost requests by second since the first line about a request, and by cause. */
  seconds: Array<Map<LossCause, number>>
}

/** The fields of the line `request_ended` from which the cause is found. */
interface EndedRequest {
  route: string
  object?: string
  outcome: string
  reason?: string
  elapsedMs: number
  objectiveMs: number
  sends: Array<{ target?: string, afterMs: number, inFlight: number, othersBusy?: number, slots?: number, first?: true }>
}

/** Share of its objective that a request must have waited for the wait to count as the cause. */
const waitedShare = 1 / 3
const msPerSecond = 1_000

/**
 * Counts the losses.
 *
 * @param lines Lines of the logs of all instances, in order of time
 * @returns The losses by route and by second
 */
export function countLosses (lines: Iterable<LogLine>): LogLosses {
  const regionOfTarget = new Map<string, string>()
  const regionOfInstance = new Map<string, string>()
  const routes = new Map<string, RouteLosses>()
  const seconds: Array<Map<LossCause, number>> = []
  let startedAtMs: number | undefined
  for (const { event, instance, atMs, fields } of lines) {
    if (event === 'started') regionOfInstance.set(instance, String(fields['region']))
    else if (event === 'target') regionOfTarget.set(String(fields['target']), String(fields['region']))
    else if (event === 'request_ended' && fields['object'] !== undefined) {
      startedAtMs ??= atMs
      const request = fields as unknown as EndedRequest
      const cause = findCause(request, target => regionOfTarget.get(target) !== regionOfInstance.get(instance))
      if (cause === undefined) continue
      const losses = routes.get(request.route) ?? { route: request.route, counts: new Map(), reasons: new Map() }
      routes.set(request.route, losses)
      addOne(losses.counts, cause)
      if (request.reason !== undefined) addOne(losses.reasons, request.reason)
      const second = Math.floor((atMs - startedAtMs) / msPerSecond)
      addOne(seconds[second] ??= new Map(), cause)
    }
  }
  return { routes: [...routes.values()], seconds: Array.from(seconds, counts => counts ?? new Map()) }
}

function addOne<T> (counts: Map<T, number>, key: T): void {
  counts.set(key, (counts.get(key) ?? 0) + 1)
}

/** Finds why a request was lost; `undefined` if it was answered within its objective. */
function findCause ({ outcome, reason, elapsedMs, objectiveMs, sends }: EndedRequest, isFar: (target: string) => boolean): LossCause | undefined {
  if (reason === 'caller_gone') return LossCause.CallerGone
  if (outcome === 'not-run') return LossCause.Refused
  if (outcome === 'unknown') return LossCause.Unknown
  const last = sends.at(-1)
  if (elapsedMs <= objectiveMs || last?.target === undefined) return undefined
  if (sends.length > 1) return LossCause.Retried
  if (last.afterMs >= objectiveMs * waitedShare) return LossCause.Waited
  if (last.first === true) return isFar(last.target) ? LossCause.FirstRunFar : LossCause.FirstRunNear
  if (last.slots !== undefined && last.inFlight + (last.othersBusy ?? 0) > last.slots) return LossCause.TargetQueue
  return isFar(last.target) ? LossCause.SlowFar : LossCause.SlowNear
}
