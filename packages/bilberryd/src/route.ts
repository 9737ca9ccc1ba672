/**
 * Routes a request: to a region, to the instance that feeds it, to a target.
 *
 * @module
 */
import type { PeerClient } from '@bilberryworks/instances'
import type { HandleRequest, InstanceRecord, Refusal, RetryReason, ServiceAnswer, ServiceRequest, TargetRecord } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import type { Dispatch } from './dispatch.ts'
import type { FeedRequest } from './feed.ts'
import type { RegionChooser } from './regions.ts'
import type { View } from './view.ts'
import { chooseClassRule, chooseOwner, createNotRun, MachineState, Outcome, rankByRendezvous, RefusalReason, RetryReason as RetryReasons } from '@bilberryworks/steering'
import { err, ok } from 'neverthrow'

const retryAfterMs = 1_000
const hopReserveMs = 5

/** Refusals of one feeder after which another one may do better. */
const mayAskAnother = new Set([RefusalReason.NoUsableTarget, RefusalReason.LeaseLapsed, RefusalReason.Stopping])

/** Options of {@linkcode createRouter}. */
export interface CreateRouterOptions {
  /** Name of this instance. */
  instance: string
  /** What this instance knows. */
  view: View
  /** Lists the feeders of a failure domain. */
  listFeeders: (failureDomain: string) => string[]
  /** Sends a request to a target that this instance feeds. */
  dispatch: Dispatch
  /** Chooses the region of a caller. */
  regions: RegionChooser
  /** The other instances. */
  peers: PeerClient
  /** Whether this instance has learnt the documents since its start. */
  isReady: () => boolean
  /** Counts a retry. */
  countRetry: (reason: RetryReason) => void
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/**
 * Creates the router of an instance.
 *
 * @param options What it decides from and sends by
 * @returns The handler of requests
 */
export function createRouter (options: CreateRouterOptions): HandleRequest {
  const { view, dispatch, regions, peers } = options

  /** Ranks the instances that feed targets of a service in a region, best first for the caller. */
  function rankFeeders (request: ServiceRequest, region: string): InstanceRecord[] {
    const feeders = new Map<string, { record: InstanceRecord, slots: number }>()
    const records = new Map(view.listInstances().map(record => [record.instance, record]))
    for (const target of listUsableTargets(view, request.service)) {
      const owner = target.region === region ? chooseOwner(target.target, options.listFeeders(target.failureDomain)) : undefined
      const record = records.get(owner ?? '')
      if (record === undefined) continue
      const entry = feeders.get(record.instance) ?? { record, slots: 0 }
      entry.slots += target.slots
      feeders.set(record.instance, entry)
    }
    const weights = Object.fromEntries([...feeders].map(([name, entry]) => [name, entry.slots]))
    return rankByRendezvous(request.callerKey, weights).map(name => feeders.get(name)!.record)
  }

  async function forwardToFeeder (feedRequest: FeedRequest, candidates: InstanceRecord[]): Promise<Result<ServiceAnswer, Refusal>> {
    const { request, deadlineAtMs } = feedRequest
    let refusal = createNotRun(RefusalReason.NoUsableTarget, `Service "${request.service}" has no usable target`, retryAfterMs)
    for (const candidate of candidates) {
      if (candidate.instance === options.instance) return dispatch(feedRequest)
      const result = await peers.forward(candidate, request, deadlineAtMs - options.getNowMs() - hopReserveMs)
      if (result.isOk()) return ok(result.value)
      refusal = result.error.refusal
      if (result.error.unsent) {
        view.dropInstance(candidate.instance)
        options.countRetry(RetryReasons.PeerUnreachable)
      } else if (refusal.outcome === Outcome.NotRun && mayAskAnother.has(refusal.reason) && !request.body.readableDidRead) {
        options.countRetry(RetryReasons.PeerRefused)
      } else {
        return err(refusal)
      }
    }
    return err(refusal)
  }

  return async request => {
    const accepted = view.getDocument(request.service)
    if (accepted === undefined) {
      return err(options.isReady()
        ? createNotRun(RefusalReason.UnknownService, `Service "${request.service}" has no document`)
        : createNotRun(RefusalReason.NoDocument, 'Documents are not loaded yet', retryAfterMs))
    }
    const rule = chooseClassRule(accepted.document, request.method, request.path)
    const deadlineAtMs = options.getNowMs() + Math.min(rule.deadlineMs, request.deadlineMs ?? Infinity)
    const feedRequest = { request, requestClass: rule.requestClass, priority: rule.priority, deadlineAtMs }
    if (request.hops > 0) return dispatch(feedRequest)
    const region = regions.chooseRegion(request.service, request.callerKey)
    if (region.isErr()) return err(region.error)
    return forwardToFeeder(feedRequest, rankFeeders(request, region.value))
  }
}

/**
 * Lists the targets of a service that take new work.
 *
 * @param view What the instance knows
 * @param service Name of the service
 * @returns The targets
 */
export function listUsableTargets (view: View, service: string): TargetRecord[] {
  return view.listTargets(service).filter(target => target.state === MachineState.Live)
}
