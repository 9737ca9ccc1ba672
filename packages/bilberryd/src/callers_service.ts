/**
 * The moleculer service behind the callers' look-up.
 *
 * @module
 */
import type { ClientBlocks, EntryDirectory, InstanceRecord, Refusal } from '@bilberryworks/steering'
import type { Context, ServiceSchema } from 'moleculer'
import type { RegionChooser } from './regions.ts'
import type { ClusterView } from './cluster_view.ts'
import { randomUUID } from 'node:crypto'
import { chooseEntries, createEntryDirectory, createNotRun, findSites, formatPin, parseClientAddress, RefusalReason } from '@bilberryworks/steering'

/** Options of {@linkcode createCallersService}. */
export interface CreateCallersServiceOptions {
  /** What the instance knows. */
  view: Pick<ClusterView, 'getDocument' | 'listInstances'>
  /** Chooses regions for callers. */
  regions: Pick<RegionChooser, 'getWeights'>
  /** Returns the map of client blocks in force. */
  getBlocks: () => ClientBlocks
  /** Region of the instance. */
  region: string
  /** Longest lifetime of an answer, in seconds. */
  ttlSeconds: number
  /** Counts a look-up. */
  countLookUp: () => void
  /** Returns a random number from 0 to 1. */
  getRandom: () => number
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** A look-up. */
export interface LookUpParams {
  /** Name of the service. */
  service: string
  /** Address of the client, as text. */
  client: string
}

/** An entry instance as callers see it. */
export interface LookUpEntry {
  /** Name of the instance. */
  instance: string
  /** `host:port` of its listener for callers. */
  address: string
  /** Failure domain that it is in. */
  failureDomain: string
  /** Region that it is in. */
  region: string
  /** Pin under which this instance remembers idempotency keys. */
  pin: string
}

/** The answer to a look-up. */
export interface LookUpResponse {
  /** Name of the service. */
  service: string
  /** Revision of its document. */
  revision: number
  /** Lifetime of the answer, in seconds. */
  ttlSeconds: number
  /** Pin of the best entry. */
  pin: string
  /** Entry instances, best first. */
  entries: LookUpEntry[]
}

/** What becomes of a look-up. */
export type LookUpReply = { response: LookUpResponse, refusal?: never } | { refusal: Refusal, response?: never }

const directoryLifetimeMs = 20
const ttlJitterRatio = 0.3
const retryAfterMs = 1_000

/**
 * Creates the service.
 *
 * @param options What the look-up decides from
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

  function chooseTtlSeconds (): number {
    return Math.max(1, Math.round(options.ttlSeconds * (1 - ttlJitterRatio * options.getRandom())))
  }

  return {
    name: 'callers',
    actions: {
      listEntries (context: Context<LookUpParams>): LookUpReply {
        options.countLookUp()
        const { service, client } = context.params
        const accepted = options.view.getDocument(service)
        if (accepted === undefined) return { refusal: createNotRun(RefusalReason.UnknownService, `Service "${service}" has no document`) }
        const address = parseClientAddress(client)
        if (address.isErr()) return { refusal: createNotRun(RefusalReason.BadRequest, address.error) }
        const chosen = chooseEntries({
          callerKey: client,
          directory: getDirectory(),
          regionWeights: options.regions.getWeights(service),
          localRegion: options.region,
          sites: findSites(options.getBlocks(), address.value)
        })
        if (chosen.length === 0) return { refusal: createNotRun(RefusalReason.Stopping, 'No entry instance is usable now', retryAfterMs) }
        const entries = chosen.map(describeEntry)
        return {
          response: {
            service,
            revision: accepted.revision,
            ttlSeconds: chooseTtlSeconds(),
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
