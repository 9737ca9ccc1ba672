/**
 * Puts the memory of keys of an incarnation together with its pins and its rows on the platform.
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
  /** Its incarnation. */
  incarnation: string
  /** The platform. */
  platform: Platform
  /** The other instances. */
  peers: PeerClient
  /** What this instance knows. */
  view: ClusterView
  /** Handles a request that is to run now. */
  handleRequest: HandleRequest
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** The memory of keys of an incarnation. */
export interface IdempotencyHandler {
  /** Handles a request, one with a key at most once. */
  handleRequest: HandleRequest
  /** Returns the epoch of pins to announce. */
  getPinEpoch: () => number
  /** Counts the remembered keys. */
  countKeys: () => number
}

/**
 * Creates the memory of keys of an incarnation that begins now.
 *
 * @param options What it decides from and sends by
 * @returns The memory
 */
export function createIdempotencyHandler (options: CreateIdempotencyHandlerOptions): IdempotencyHandler {
  const { instance, incarnation, view, getNowMs } = options
  const startedMs = getNowMs()
  const getPinEpoch = (): number => computePinEpoch(getNowMs() - startedMs)
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
    dropInstance: view.dropInstance,
    chooseDeadlineMs,
    getNowMs
  })
  return { handleRequest, getPinEpoch, countKeys: store.count }
}
