/**
 * Puts the memory of keys of an incarnation together with its pins and its rows on the platform.
 *
 * @module
 */
import type { PeerClient } from '@bilberryworks/instances'
import type { Platform } from '@bilberryworks/platform'
import type { HandleRequest, ServiceRequest } from '@bilberryworks/steering'
import type { KeyedRun } from './keyed_requests.ts'
import type { View } from './view.ts'
import { randomUUID } from 'node:crypto'
import { chooseClassRule, computePinEpoch, createKeyMemory } from '@bilberryworks/steering'
import { createKeyRows } from './key_rows.ts'
import { createKeyedRequests } from './keyed_requests.ts'

const maxKeys = 50_000
const maxResultBytes = 32 * 1024 * 1024
const unknownServiceDeadlineMs = 10_000

/** Options of {@linkcode createKeyKeeper}. */
export interface CreateKeyKeeperOptions {
  /** Name of this instance. */
  instance: string
  /** Its incarnation. */
  incarnation: string
  /** The platform. */
  platform: Platform
  /** The other instances. */
  peers: PeerClient
  /** What this instance knows. */
  view: View
  /** Handles a request that is to run now. */
  handleRequest: HandleRequest
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** The memory of keys of an incarnation. */
export interface KeyKeeper {
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
export function createKeyKeeper (options: CreateKeyKeeperOptions): KeyKeeper {
  const { instance, incarnation, view, getNowMs } = options
  const startedMs = getNowMs()
  const getPinEpoch = (): number => computePinEpoch(getNowMs() - startedMs)
  const memory = createKeyMemory<KeyedRun>({ maxKeys, maxResultBytes })
  const createPin = () => ({ instance, incarnation, epoch: getPinEpoch(), nonce: randomUUID() })

  function chooseDeadlineMs (request: ServiceRequest): number {
    const accepted = view.getDocument(request.service)
    const ruleMs = accepted === undefined ? unknownServiceDeadlineMs : chooseClassRule(accepted.document, request.method, request.path).deadlineMs
    return Math.min(ruleMs, request.deadlineMs ?? Infinity)
  }

  const handleRequest = createKeyedRequests({
    instance,
    incarnation,
    getPinEpoch,
    memory,
    keyRows: createKeyRows({ platform: options.platform, createPin, getNowMs }),
    handleRequest: options.handleRequest,
    peers: options.peers,
    listInstances: view.listInstances,
    dropInstance: view.dropInstance,
    chooseDeadlineMs,
    getNowMs
  })
  return { handleRequest, getPinEpoch, countKeys: memory.count }
}
