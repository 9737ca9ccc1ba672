/**
 * One instance with a fake platform and one fake target, all in this process, for tests.
 *
 * @module
 */
import type { RunningInstance, Settings } from 'bilberryd'
import type { SiteStore } from './site_store.ts'
import type { FakeTarget } from './fake_target.ts'
import { createHash } from 'node:crypto'
import { setTimeout } from 'node:timers/promises'
import { indexKey, TableName } from '@bilberryworks/platform'
import { createLogger } from 'bunyan'
import { parseSettings, runInstance } from 'bilberryd'
import { createCleanupStack } from '@bilberryworks/steering'
import { createDocument, DeploymentName, deployments } from './deployments.ts'
import { registerTargets } from './target_rows.ts'
import { createSiteStore } from './site_store.ts'
import { startFakeTarget } from './fake_target.ts'

/** Token of team `operations` for the operators' interface. */
export const operatorsToken = 'token-of-the-operators'

/** Key with which instances authenticate to each other. */
export const peerKey = 'key-between-the-instances'

const service = { name: 'lunchbox-api', targets: 1, slots: 3 }
const listen = { host: '127.0.0.1', port: 0 }

/** Document of the service that the target belongs to. */
export const firstDocument = { ...createDocument(deployments[DeploymentName.Kutiyka], service), regionWeights: { sofia: 1 } }

/** A running instance with its target and store. */
export interface SingleInstance extends AsyncDisposable {
  instance: RunningInstance
  settings: Settings
  target: FakeTarget
  store: SiteStore
  /** Log lines of the instance. */
  log: string[]
}

/** Options of {@linkcode startSingleInstance}. */
export interface StartSingleInstanceOptions {
  /** Limits to change in the document of the service. */
  limits?: Partial<typeof firstDocument.limits>
  /** Settings to add or replace. */
  settings?: Record<string, unknown>
}

/**
 * Starts an instance with a platform, one target and an accepted document.
 *
 * @param options Limits and settings
 * @returns The instance; dispose it to stop the instance, the target and the store
 */
export async function startSingleInstance (options: StartSingleInstanceOptions = {}): Promise<SingleInstance> {
  const stack = createCleanupStack()
  const store = stack.add(createSiteStore())
  const storeEndpoint = await store.openEndpoint()
  const target = stack.add(await startFakeTarget({ target: 'target-0', service: service.name, slots: service.slots, failureDomain: 'sofia-a', region: 'sofia', serviceMs: 0 }))
  registerTargets(store, [target.record])
  const document = { ...firstDocument, limits: { ...firstDocument.limits, ...options.limits } }
  const accepted = { revision: 1, document, acceptedAtMs: 0, author: 'test', submissionId: 'first' }
  store.writeRow(TableName.Documents, service.name, accepted)
  store.writeRow(TableName.Index, indexKey, { revisions: { [service.name]: 1 }, shifts: {}, feeds: {}, clientBlocks: 0 })
  const settings = parseSettings(JSON.stringify({
    instance: 'entry-0',
    failureDomain: 'sofia-a',
    region: 'sofia',
    platformUrl: storeEndpoint.url,
    regions: { 'sofia-a': 'sofia' },
    listen: { callers: listen, operators: listen, peers: listen },
    peerKeys: [peerKey],
    tokens: [{ name: 'test', team: 'operations', sha256: createHash('sha256').update(operatorsToken).digest('hex') }],
    pollMs: 50,
    heartbeatMs: 100,
    longestDispatchMs: 500,
    ...options.settings
  }))._unsafeUnwrap()
  const log: string[] = []
  const stream = { write: (line: string) => log.push(line) }
  const instance = stack.add(await runInstance(settings, createLogger({ name: 'test', streams: [{ type: 'stream', level: 'trace', stream: stream as unknown as NodeJS.WritableStream }] })))
  return { instance, settings, target, store, log, [Symbol.asyncDispose]: stack[Symbol.asyncDispose] }
}

/**
 * Waits until a request to the service gets status 200, and clears the requests that the target recorded.
 *
 * @param system Instance to wait for
 */
export async function waitUntilServing (system: SingleInstance): Promise<void> {
  while ((await fetch(`http://${system.instance.addresses.callers}/services/lunchbox-api/x`)).status !== 200) await setTimeout(20)
  system.target.runs.length = 0
}
