/**
 * The moleculer service behind the callers' look-up.
 *
 * @module
 */
import type { Context, ServiceSchema } from 'moleculer'
import type { InstanceRecord } from '@bilberryworks/steering'
import type { RegionChooser } from './regions.ts'
import type { View } from './view.ts'
import { randomUUID } from 'node:crypto'
import { chooseEntries, formatPin } from '@bilberryworks/steering'

/** Options of {@linkcode createCallersService}. */
export interface CreateCallersServiceOptions {
  /** What the instance knows. */
  view: View
  /** Chooses regions for callers. */
  regions: RegionChooser
  /** Region of the instance. */
  region: string
  /** Lifetime of an answer, in seconds. */
  ttlSeconds: number
  /** Counts a look-up. */
  countLookUp: () => void
}

interface Meta {
  remoteAddress: string
  $statusCode: number
  $responseHeaders: Record<string, string>
}

/**
 * Creates the service.
 *
 * @param options What the look-up decides from
 * @returns A moleculer service schema
 */
export function createCallersService (options: CreateCallersServiceOptions): ServiceSchema {
  return {
    name: 'callers',
    actions: {
      listEntries (call: Context<{ service: string, client?: string }, Meta>) {
        options.countLookUp()
        const accepted = options.view.getDocument(call.params.service)
        if (accepted === undefined) {
          call.meta.$statusCode = 404
          return { title: 'unknown_service', detail: `Service "${call.params.service}" has no document` }
        }
        const chosen = chooseEntries({
          callerKey: call.params.client ?? call.meta.remoteAddress,
          instances: options.view.listInstances(),
          regionWeights: options.regions.getWeights(call.params.service),
          localRegion: options.region
        })
        if (chosen.length === 0) {
          call.meta.$statusCode = 503
          return { title: 'no_usable_instance' }
        }
        call.meta.$responseHeaders = { 'Cache-Control': `private, max-age=${options.ttlSeconds}` }
        const pins = chosen.map(createPin)
        return {
          service: call.params.service,
          revision: accepted.revision,
          ttlSeconds: options.ttlSeconds,
          pin: pins[0],
          entries: chosen.map((record, index) => ({
            instance: record.instance, address: record.callerAddress, failureDomain: record.failureDomain, region: record.region, pin: pins[index]
          }))
        }
      }
    }
  }
}

/** Creates a pin under which an instance remembers the keys of one caller. */
function createPin (record: InstanceRecord): string {
  return formatPin({ instance: record.instance, incarnation: record.incarnation, epoch: record.pinEpoch, nonce: randomUUID() })
}
