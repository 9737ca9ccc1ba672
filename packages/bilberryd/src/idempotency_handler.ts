/**
 * Assembles the idempotency handling of an instance: the in-memory key store, pins and the pin store on the platform.
 *
 * @module
 */
import type { PeerClient } from '@bilberryworks/instances'
import type { Platform } from '@bilberryworks/platform'
import type { HandleRequest, ServiceRequest } from '@bilberryworks/steering'
import type { KeyedRun } from './keyed_request_handler.ts'
import type { ClusterView } from './cluster_view.ts'
import { randomUUID } from 'node:crypto'
import { chooseClassRule, computePinEpoch, createIdempotencyStore } from '@bilberryworks/steering'
import { createPinStore } from './pin_store.ts'
import { createKeyedRequestHandler } from './keyed_request_handler.ts'

const maxKeys = 50_000
const maxResultBytes = 32 * 1024 * 1024
const unknownServiceDeadlineMs = 10_000

/** Options of {@linkcode createIdempotencyHandler}. */
export interface CreateIdempotencyHandlerOptions {
  /** Name of this instance. */
  instance: string
  /** Identifier of the current run of its process. */
  incarnation: string
  /** The platform that stores the pins of keys sent without one. */
  platform: Platform
  /** Client that forwards requests to other instances. */
  peers: PeerClient
  /** The instance's view of the cluster. */
  view: ClusterView
  /** Runs a request that has no key or whose key is new. */
  handleRequest: HandleRequest
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Idempotency handling of one incarnation. */
export interface IdempotencyHandler {
  /** Handles a request; runs requests with the same key at most once. */
  handleRequest: HandleRequest
  /** Returns the current pin epoch, which the instance announces. */
  getPinEpoch: () => number
  /** Counts the stored keys. */
  countKeys: () => number
}

/**
 * Creates the idempotency handler of an incarnation, whose first pin epoch begins with this call.
 *
 * @param options The next handler, cluster state, clients and clock
 * @returns The handler
 */
export function createIdempotencyHandler (options: CreateIdempotencyHandlerOptions): IdempotencyHandler {
  const { instance, incarnation, view, getNowMs } = options
  const startedAtMs = getNowMs()
  const getPinEpoch = (): number => computePinEpoch(getNowMs() - startedAtMs)
  const store = createIdempotencyStore<KeyedRun>({ maxKeys, maxResultBytes })
  const createPin = () => ({ instance, incarnation, epoch: getPinEpoch(), nonce: randomUUID() })

  function chooseDeadlineMs (request: ServiceRequest): number {
    const accepted = view.getDocument(request.service)
    const ruleMs = accepted === undefined ? unknownServiceDeadlineMs : chooseClassRule(accepted.document, request.method, request.path).deadlineMs
    return Math.min(ruleMs, request.deadlineMs ?? Infinity)
  }

  const handleRequest = createKeyedRequestHandler({
    instance,
    incarnation,
    getPinEpoch,
    store,
    pinStore: createPinStore({ platform: options.platform, createPin, getNowMs }),
    handleRequest: options.handleRequest,
    peers: options.peers,
    listInstances: view.listInstances,
    markInstanceUnreachable: view.markInstanceUnreachable,
    chooseDeadlineMs,
    getNowMs
  })
  return { handleRequest, getPinEpoch, countKeys: store.count }
}
