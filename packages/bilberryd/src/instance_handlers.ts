/**
 * Creates the request handlers for the listeners of an instance.
 *
 * @module
 */
import type { RequestListener } from 'node:http'
import type { ServiceBroker } from 'moleculer'
import type { InstanceComponents } from './instance_components.ts'
import { createOpenRequests, createServiceHandler } from '@bilberryworks/callers'
import { createPeerHandler } from '@bilberryworks/instances'
import { createOperatorsService } from '@bilberryworks/operators'
import moleculer from 'moleculer'
import { findMaxBodyBytes } from './body_limits.ts'
import { createCallersService } from './callers_service.ts'
import { PeerMethodName } from './gossip_messages.ts'
import { ownershipMethod } from './ownership_exchange.ts'
import { slotLoadHeader, formatSlotLoad } from './owner_loads.ts'
import { createOperatorsGateway } from './operators_gateway.ts'
import { createLookUpHandler } from './look_up_handler.ts'

/** Request handlers, by listener. */
export interface InstanceHandlers extends AsyncDisposable {
  callers: RequestListener
  operators: RequestListener
  peers: RequestListener
  /** Answers the requests of callers and peers whose responses have not begun. */
  endRequests: () => Promise<void>
}

/**
 * Creates the handlers of an instance.
 *
 * @param components The components of the instance
 * @returns The handlers; dispose them to stop the moleculer broker that they call
 */
export async function createInstanceHandlers (components: InstanceComponents): Promise<InstanceHandlers> {
  const { settings, metrics, identity, sync, ownership, handleRequest } = components
  const broker = createBroker(components)
  const handleLookUp = createLookUpHandler(broker, { recordRefusal: metrics.countRefusal })
  const openRequests = createOpenRequests()
  const handleServiceRequest = createServiceHandler({
    openRequests,
    isFromPeer: false,
    handleRequest,
    recordEnd: metrics.recordRequestEnd,
    isStopping: identity.isLeaving,
    getMaxBodyBytes: request => findMaxBodyBytes(components.view, request),
    bodyIdleTimeoutMs: settings.bodyIdleTimeoutMs
  })
  const operators = createOperatorsGateway(broker, {
    tokens: () => settings.tokens, countUnauthenticated: () => metrics.countUnauthenticated('operators'), registry: metrics.registry, isReady: components.isReady
  })
  const handleForwardedRequest = createServiceHandler({ openRequests, isFromPeer: true, handleRequest: components.handleForwarded, recordEnd: metrics.recordRequestEnd, isStopping: () => false })
  const peers = createPeerHandler({
    listKeys: () => settings.peerKeys,
    methods: {
      ...Object.fromEntries(Object.values(PeerMethodName).map(name => [name, (params: unknown) => sync.methods[name]?.(params)])),
      [ownershipMethod]: ownership.handleExchange
    },
    handleForward (request, response) {
      const service = /^\/services\/([^/?]+)/.exec(request.url ?? '')?.[1] ?? ''
      if (components.view.getDocument(service) !== undefined) response.setHeader(slotLoadHeader, formatSlotLoad(components.slotPool.getLoad(service)))
      handleForwardedRequest(request, response)
    },
    countUnauthenticated: () => metrics.countUnauthenticated('peers')
  })
  await broker.start()
  return {
    callers (request, response) {
      if (request.url?.startsWith('/v1/') !== true) return handleServiceRequest(request, response)
      if (identity.isLeaving()) response.setHeader('connection', 'close')
      return handleLookUp(request, response)
    },
    operators,
    peers,
    endRequests: openRequests.end,
    async [Symbol.asyncDispose] () {
      await broker.stop()
    }
  }
}

function createBroker (components: InstanceComponents): ServiceBroker {
  const { settings, view, clientBlocks, regions, metrics, platform, sync, identity, status } = components
  const broker = new moleculer.ServiceBroker({ nodeID: settings.instance, logger: false, skipProcessEventRegistration: true })
  broker.createService(createCallersService({
    view, regions, getBlocks: clientBlocks.getBlocks, region: settings.region, ttlSeconds: settings.lookUpTtlSeconds, countLookUp: metrics.countLookUp, getRandom: Math.random, getNowMs: () => performance.now()
  }))
  broker.createService(createOperatorsService({
    platform,
    listDocuments: view.listDocuments,
    listTargets: view.listAllTargets,
    mergeDocument (accepted) {
      if (view.mergeDocument(accepted)) sync.spread().catch(() => {})
    },
    getWallClockMs: () => Date.now(),
    createStatus: async () => ({ ...identity.getRecord(), ...sync.createVersions(), ready: components.isReady(), ...await status.readInstances() }),
    createServiceStatus: async service => await status.readService(service) ?? {}
  }))
  return broker
}
