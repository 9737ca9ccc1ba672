/**
 * Routes a request: to a region, to the instance that feeds it, to a target.
 *
 * @module
 */
import type { PeerClient } from '@bilberryworks/instances'
import type { HandleRequest, InstanceRecord, RetryReason, ServiceDocument, ServiceRequest, TargetRecord } from '@bilberryworks/steering'
import type { Feed, FeedRequest } from './feed.ts'
import type { View } from './view.ts'
import { chooseClassRule, chooseFeeder, createNotRun, MachineState, rankByRendezvous, RefusalReason, RetryReason as RetryReasons } from '@bilberryworks/steering'
import { err, ok } from 'neverthrow'

const retryAfterMs = 1_000
const hopReserveMs = 5

/** Options of {@linkcode createRouter}. */
export interface CreateRouterOptions {
  /** Name of this instance. */
  instance: string
  /** What this instance knows. */
  view: View
  /** The targets that this instance feeds. */
  feed: Feed
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
  const { view, feed, peers } = options

  function listCandidates (request: ServiceRequest, document: ServiceDocument): InstanceRecord[] {
    const targets = listUsableTargets(view, request.service)
    const region = chooseRegion(document, targets, request.callerKey)
    const slots = new Map<string, { record: InstanceRecord, slots: number }>()
    for (const target of targets) {
      if (target.region !== region) continue
      const record = chooseFeeder(target, view.listInstances())
      if (record === undefined) continue
      const entry = slots.get(record.instance) ?? { record, slots: 0 }
      entry.slots += target.slots
      slots.set(record.instance, entry)
    }
    const weights = Object.fromEntries([...slots].map(([name, entry]) => [name, entry.slots]))
    return rankByRendezvous(request.callerKey, weights).map(name => slots.get(name)!.record)
  }

  async function forwardToFeeder (feedRequest: FeedRequest, candidates: InstanceRecord[]): ReturnType<HandleRequest> {
    const { request, deadlineAtMs } = feedRequest
    let refusal = createNotRun(RefusalReason.NoUsableTarget, `Service "${request.service}" has no usable target`, retryAfterMs)
    for (const candidate of candidates) {
      if (candidate.instance === options.instance) return feed.dispatch(feedRequest)
      const result = await peers.forward(candidate, request, deadlineAtMs - options.getNowMs() - hopReserveMs)
      if (result.isOk()) return ok(result.value)
      refusal = result.error.refusal
      if (!result.error.unsent) return err(refusal)
      view.dropInstance(candidate.instance)
      options.countRetry(RetryReasons.PeerUnreachable)
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
    if (request.hops > 0) return feed.dispatch(feedRequest)
    return forwardToFeeder(feedRequest, listCandidates(request, accepted.document))
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

function chooseRegion (document: ServiceDocument, targets: TargetRecord[], callerKey: string): string | undefined {
  const regions = new Set(targets.map(target => target.region))
  return rankByRendezvous(callerKey, document.regionWeights).find(region => regions.has(region))
}
