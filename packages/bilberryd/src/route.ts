/**
 * Routes a request to a region, to an owner of targets there, and from the owner to a target.
 *
 * @module
 */
import type { ForwardFailure, PeerClient } from '@bilberryworks/instances'
import type { HandleRequest, InstanceRecord, Refusal, RetryReason, ServiceResponse, ServiceRequest, TargetRecord } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import type { Dispatch } from './dispatch.ts'
import type { SlotRequest } from './slot_pool.ts'
import type { OwnerCapacity, OwnerLoads } from './owner_loads.ts'
import type { RequestPacer } from './pace_requests.ts'
import type { RegionChooser } from './regions.ts'
import type { ClusterView } from './cluster_view.ts'
import { finished } from 'node:stream'
import { chooseClassRule, chooseOwner, createNotRunRefusal, LifecycleState, Objective, Outcome, rankOwnersByTwoChoices, rankOwnersLocalFirst, RefusalReason, RetryReason as RetryReasons } from '@bilberryworks/steering'
import { err, ok } from 'neverthrow'

const retryAfterMs = 1_000
/** Time reserved for the hop between instances out of the deadline of a forwarded request, in milliseconds. */
const hopReserveMs = 5

/** Refusals after which another owner may accept the request. */
const retryableReasons = new Set([RefusalReason.NoUsableTarget, RefusalReason.LeaseLapsed, RefusalReason.Overloaded, RefusalReason.Stopping])

/** Options of {@linkcode createRouter}. */
export interface CreateRouterOptions {
  /** Name of this instance. */
  instance: string
  /** Cluster view with documents, instances and targets. */
  view: ClusterView
  /** Lists the owners of a failure domain's targets. */
  listOwners: (failureDomain: string) => string[]
  /** Sends a request to a target that this instance owns. */
  dispatch: Dispatch
  /** Chooses the region of a caller. */
  regions: RegionChooser
  /** Client for calls to the other instances. */
  peers: PeerClient
  /** Loads of the owners. */
  loads: OwnerLoads
  /** Paces transfers over the links to other regions. */
  links: RequestPacer
  /** Whether this instance has loaded the documents since its start. */
  isReady: () => boolean
  /** Counts a retry at another owner. */
  countRetry: (reason: RetryReason) => void
  /** Returns a random number in [0, 1). */
  getRandom: () => number
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/**
 * Creates the router of an instance.
 *
 * @param options Cluster view, dispatch, peers and clock
 * @returns The request handler
 */
export function createRouter (options: CreateRouterOptions): HandleRequest {
  const { view, dispatch, regions, peers } = options

  /** Ranks the owners of a service's targets in a region, best first for the request. */
  function rankOwners (request: ServiceRequest, choice: { region: string, objective: Objective }): InstanceRecord[] {
    const candidates = listCandidates(request.service, choice.region)
    const rank = choice.objective === Objective.Latency ? rankOwnersLocalFirst : rankOwnersByTwoChoices
    const ranked = rank(options.loads.describeOwners(request.service, candidates), { callerKey: request.callerKey, getRandom: options.getRandom })
    return ranked.map(owner => candidates.find(({ record }) => record.instance === owner.instance)!.record)
  }

  /** Lists the owners in a region. Owners without a lease are listed only if no owner has one. */
  function listCandidates (service: string, region: string): OwnerCapacity[] {
    const reachable = view.listInstances()
    const leased = listOwnersAmong(service, { region, instances: reachable.filter(record => record.feeding !== false) })
    return leased.length > 0 ? leased : listOwnersAmong(service, { region, instances: reachable })
  }

  /** Lists the given instances that own targets of a service in a region, with their slots. */
  function listOwnersAmong (service: string, { region, instances }: { region: string, instances: InstanceRecord[] }): OwnerCapacity[] {
    const owners = new Map<string, OwnerCapacity>()
    const records = new Map(instances.map(record => [record.instance, record]))
    for (const target of listUsableTargets(view, service)) {
      const owner = target.region === region ? chooseOwner(target.target, options.listOwners(target.failureDomain)) : undefined
      const record = records.get(owner ?? '')
      if (record === undefined) continue
      const candidate = owners.get(record.instance) ?? { record, slots: 0 }
      candidate.slots += target.slots
      owners.set(record.instance, candidate)
    }
    return [...owners.values()]
  }

  async function sendToOwners (slotRequest: SlotRequest, owners: InstanceRecord[]): Promise<Result<ServiceResponse, Refusal>> {
    const { request } = slotRequest
    let refusal = createNotRunRefusal(RefusalReason.NoUsableTarget, `Service "${request.service}" has no usable target`, retryAfterMs)
    for (const owner of owners) {
      const result = owner.instance === options.instance ? await dispatchLocally(slotRequest) : await forwardTo(owner, slotRequest)
      if (result.isOk()) return ok(result.value)
      refusal = result.error.refusal
      if (result.error.isUnsent) {
        view.markInstanceUnreachable(owner.instance)
        options.countRetry(RetryReasons.PeerUnreachable)
      } else if (refusal.outcome === Outcome.NotRun && retryableReasons.has(refusal.reason) && isBodyUnread(request)) {
        options.countRetry(RetryReasons.PeerRefused)
      } else {
        return err(refusal)
      }
    }
    return err(refusal)
  }

  async function dispatchLocally (slotRequest: SlotRequest): Promise<Result<ServiceResponse, ForwardFailure>> {
    const result = await dispatch(slotRequest)
    return result.mapErr(refusal => ({ isUnsent: false, refusal }))
  }

  async function forwardTo (owner: InstanceRecord, slotRequest: SlotRequest): Promise<Result<ServiceResponse, ForwardFailure>> {
    const { request, requestClass, deadlineAtMs } = slotRequest
    const paced = options.links.paceRequest(owner.region, { request, requestClass, deadlineAtMs })
    if (paced.isErr()) return err({ isUnsent: false, refusal: paced.error })
    const countEnd = options.loads.start(request.service, owner.instance)
    const result = await peers.forward(owner, paced.value, deadlineAtMs - options.getNowMs() - hopReserveMs)
    if (result.isOk()) finished(result.value.body, { writable: false }, countEnd)
    else countEnd()
    return result
  }

  return async request => {
    const accepted = view.getDocument(request.service)
    if (accepted === undefined) {
      return err(options.isReady()
        ? createNotRunRefusal(RefusalReason.UnknownService, `Service "${request.service}" has no document`)
        : createNotRunRefusal(RefusalReason.NoDocument, 'Documents are not loaded yet', retryAfterMs))
    }
    const rule = chooseClassRule(accepted.document, request.method, request.path)
    const deadlineAtMs = options.getNowMs() + Math.min(rule.deadlineMs, request.deadlineMs ?? Infinity)
    const slotRequest = { request, requestClass: rule.requestClass, priority: rule.priority, deadlineAtMs }
    if (request.hops > 0) return dispatch(slotRequest)
    const region = regions.chooseRegion(request.service, request.callerKey)
    if (region.isErr()) return err(region.error)
    const result = await sendToOwners(slotRequest, rankOwners(request, { region: region.value, objective: accepted.document.objective }))
    regions.recordOutcome(request.service, region.value, result.isErr() && result.error.reason === RefusalReason.Overloaded)
    return result
  }
}

/**
 * Lists the live targets of a service.
 *
 * @param view Cluster view
 * @param service Name of the service
 * @returns The targets
 */
export function listUsableTargets (view: ClusterView, service: string): TargetRecord[] {
  return view.listTargets(service).filter(target => target.state === LifecycleState.Live)
}

/** Whether a request has no body or none of it has been read, so that another owner can still receive all of it. */
function isBodyUnread (request: ServiceRequest): boolean {
  return request.method === 'GET' || request.method === 'HEAD' || !request.body.readableDidRead
}
