/**
 * The moleculer service by which callers look up the entry instances of a service.
 *
 * @module
 */
import type { ClientBlocks, EntryDirectory, InstanceRecord, Refusal } from '@bilberryworks/steering'
import type { Context, ServiceSchema } from 'moleculer'
import type { RegionChooser } from './regions.ts'
import type { ClusterView } from './cluster_view.ts'
import { randomUUID } from 'node:crypto'
import { chooseEntries, createEntryDirectory, createNotRunRefusal, findSites, formatPin, parseClientAddress, RefusalReason } from '@bilberryworks/steering'

/** Options of {@linkcode createCallersService}. */
export interface CreateCallersServiceOptions {
  /** The instance's view of the cluster. */
  view: Pick<ClusterView, 'getDocument' | 'listInstances'>
  /** Supplies the region weights of a service. */
  regions: Pick<RegionChooser, 'getWeights'>
  /** Returns the map from client address blocks to sites that is in use. */
  getBlocks: () => ClientBlocks
  /** Region of this instance. */
  region: string
  /** Maximum lifetime of a look-up response, in seconds. */
  ttlSeconds: number
  /** Counts a look-up. */
  countLookUp: () => void
  /** Returns a random number from 0 to 1. */
  getRandom: () => number
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Parameters of a look-up. */
export interface LookUpParams {
  /** Name of the service. */
  service: string
  /** IP address of the client, as text. */
  client: string
}

/** An entry instance as returned to callers. */
export interface LookUpEntry {
  /** Name of the instance. */
  instance: string
  /** `host:port` of the instance's listener for callers. */
  address: string
  /** Failure domain of the instance. */
  failureDomain: string
  /** Region of the instance. */
  region: string
  /** Pin to send with an idempotency key, so that retries at any instance are passed to this one, which stores the key. */
  pin: string
}

/** The response to a look-up. */
export interface LookUpResponse {
  /** Name of the service. */
  service: string
  /** Revision of the service document. */
  revision: number
  /** Lifetime of the response, in seconds. */
  ttlSeconds: number
  /** Pin of the first entry instance. */
  pin: string
  /** Entry instances, in order of preference. */
  entries: LookUpEntry[]
}

/** Result of a look-up: a response or a refusal. */
export type LookUpReply = { response: LookUpResponse, refusal?: never } | { refusal: Refusal, response?: never }

const directoryLifetimeMs = 20
const ttlJitterRatio = 0.3
const retryAfterMs = 1_000

/**
 * Creates the look-up service.
 *
 * @param options The cluster state, limits and clock that look-ups use
 * @returns A moleculer service schema
 */
export function createCallersService (options: CreateCallersServiceOptions): ServiceSchema {
  let directory: EntryDirectory = { domains: [] }
  let directoryExpiresAtMs = -Infinity

  function getDirectory (): EntryDirectory {
    const nowMs = options.getNowMs()
    if (nowMs < directoryExpiresAtMs) return directory
    directory = createEntryDirectory(options.view.listInstances())
    directoryExpiresAtMs = nowMs + directoryLifetimeMs
    return directory
  }

  function computeTtlSeconds (): number {
    return Math.max(1, Math.round(options.ttlSeconds * (1 - ttlJitterRatio * options.getRandom())))
  }

  return {
    name: 'callers',
    actions: {
      listEntries (context: Context<LookUpParams>): LookUpReply {
        options.countLookUp()
        const { service, client } = context.params
        const acceptedDocument = options.view.getDocument(service)
        if (acceptedDocument === undefined) return { refusal: createNotRunRefusal(RefusalReason.UnknownService, `Service "${service}" has no document`) }
        const address = parseClientAddress(client)
        if (address.isErr()) return { refusal: createNotRunRefusal(RefusalReason.BadRequest, address.error) }
        const chosen = chooseEntries({
          callerKey: client,
          directory: getDirectory(),
          regionWeights: options.regions.getWeights(service),
          localRegion: options.region,
          sites: findSites(options.getBlocks(), address.value)
        })
        if (chosen.length === 0) return { refusal: createNotRunRefusal(RefusalReason.Stopping, 'No live entry instance is available', retryAfterMs) }
        const entries = chosen.map(describeEntry)
        return {
          response: {
            service,
            revision: acceptedDocument.revision,
            ttlSeconds: computeTtlSeconds(),
            pin: entries[0]!.pin,
            entries
          }
        }
      }
    }
  }
}

function describeEntry (record: InstanceRecord): LookUpEntry {
  const pin = formatPin({ instance: record.instance, incarnation: record.incarnation, epoch: record.pinEpoch, nonce: randomUUID() })
  return { instance: record.instance, address: record.callerAddress, failureDomain: record.failureDomain, region: record.region, pin }
}
