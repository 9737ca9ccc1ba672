/**
 * Runs a soak: real entry instances as processes of their own, targets and the store in this one, and faults from outside.
 *
 * @module
 */
import type { SiteTarget } from '../site_target.ts'
import type { SoakSabotage } from './soak_callers.ts'
import type { SoakRecord } from './soak_checks.ts'
import type { SoakInstance, TimeSpan } from './soak_instance.ts'
import type { SoakEvent, SoakPlan } from './soak_plan.ts'
import { setTimeout as wait } from 'node:timers/promises'
import { createCleanupStack } from '@bilberryworks/steering'
import { createSeededRandom } from '../emulator/seeded_random.ts'
import { PathState } from '../path_relay.ts'
import { createSiteStore, StoreFault } from '../site_store.ts'
import { openSiteTarget, TargetFault } from '../site_target.ts'
import { testSiteHost, testSiteService, waitUntil } from '../test_site.ts'
import { runSoakCallers } from './soak_callers.ts'
import { startSoakInstance } from './soak_instance.ts'
import { SoakFault } from './soak_plan.ts'

/** Options of {@linkcode runSoak}. */
export interface RunSoakOptions {
  /** What happens. */
  plan: SoakPlan
  /** Folder for settings and logs. */
  folder: string
  /** Number of the site, so that several soaks may run in one process; 0 by default. */
  site?: number
  /** Flags of the instances; none by default. */
  flags?: string[]
  /** Fault that is put between callers and instances; none by default. */
  sabotage?: SoakSabotage
  /** Whether the store hides from the instances that targets leave, as a fault; false by default. */
  isDrainHidden?: boolean
}

const failureDomains = ['a-1', 'a-2', 'b-1', 'b-2']
const targetsPerInstance = 2
const targetOptions = { service: testSiteService, processingMs: 60, responsesPerClose: 30 }
const callersPerInstance = 6
const meanPauseMs = 400
const drainedLifetimeMs = 6_000
const injectedFaults = [TargetFault.ResponseLost, TargetFault.Shed, TargetFault.Failed, TargetFault.ResponseTruncated, TargetFault.ResponseUnsigned, TargetFault.UnmarkedRefusal]
const faultIntervalMs = 100
const pathStates: Partial<Record<SoakFault, PathState>> = { [SoakFault.PathReset]: PathState.Reset, [SoakFault.PathHanging]: PathState.Hanging, [SoakFault.PathRefusing]: PathState.RefusingNew }
const storeFaultKinds: Partial<Record<SoakFault, StoreFault>> = { [SoakFault.StoreBusy]: StoreFault.Busy, [SoakFault.StoreSilent]: StoreFault.Unreachable, [SoakFault.StoreReset]: StoreFault.Reset }

/**
 * Runs a soak.
 *
 * @param options Plan and folder
 * @returns What was recorded
 * @throws {Error} If an instance is not ready in time at the start
 */
export async function runSoak ({ plan, folder, site = 0, flags = [], sabotage, isDrainHidden = false }: RunSoakOptions): Promise<SoakRecord> {
  await using cleanup = createCleanupStack()
  const store = cleanup.add(createSiteStore())
  const targets = new Map<string, SiteTarget>()
  const live: string[] = []
  const drainedAtMs = new Map<string, number>()
  const storeFaults: TimeSpan[] = []
  const getRandom = createSeededRandom(`load ${plan.seed}`)
  const isUnderStoreFault = new Set<SoakInstance>()
  let version = 0

  function writeConfig (): void {
    version += 3
    const createRoute = (kind: string, timeout = '2000ms'): object => ({ host: testSiteHost, prefix: `/${kind}/`, kind, timeout, latency_slo: '500ms', priority: 1, service: testSiteService, max_attempts: 3, session_affinity: true, home_regions: [] })
    store.writeRow('op', 'config', {
      version: `r${version}`,
      routes: { ...Object.fromEntries(['safe', 'unsafe', 'upload'].map(kind => [kind, createRoute(kind)])), slow: { ...createRoute('upload', '8000ms'), prefix: '/slow/' } },
      services: { [testSiteService]: { health_path: '/health', max_conns: 330, cold_start: '0s', cold_per_s: 100 } },
      limits: { max_header_bytes: 16_384, max_body_bytes: 1_048_576, header_timeout: '3000ms', idle_timeout: '15000ms' }
    })
  }

  async function openTarget (): Promise<void> {
    const id = `t${targets.size}`
    targets.set(id, cleanup.add(await openSiteTarget(store, { ...targetOptions, id, failureDomain: failureDomains[targets.size % failureDomains.length]! })))
    live.push(id)
  }

  /** Takes a live target out of the list of those that faults concern. */
  function takeTarget (number: number): string {
    return live.splice(number % live.length, 1)[0]!
  }

  async function closePath (instance: SoakInstance, state: PathState, durationMs: number): Promise<void> {
    if (instance.cuts.some(({ toMs }) => toMs === Infinity)) return
    const span: TimeSpan = { fromMs: performance.now(), toMs: Infinity }
    instance.cuts.push(span)
    await instance.path.setState(state)
    await wait(durationMs)
    await instance.path.setState(PathState.Open)
    span.toMs = performance.now()
  }

  async function failStore (instance: SoakInstance, fault: StoreFault, durationMs: number): Promise<void> {
    if (isUnderStoreFault.has(instance)) return
    isUnderStoreFault.add(instance)
    const span: TimeSpan = { fromMs: performance.now(), toMs: Infinity }
    storeFaults.push(span)
    instance.storeEndpoint.setFault(fault)
    await wait(durationMs)
    instance.storeEndpoint.setFault(StoreFault.None)
    span.toMs = performance.now()
    isUnderStoreFault.delete(instance)
  }

  async function exchangeTarget (number: number): Promise<void> {
    const id = takeTarget(number)
    await targets.get(id)![Symbol.asyncDispose]()
    await wait(500)
    store.removeRow('servers', id)
    await openTarget()
  }

  async function drainTarget (number: number): Promise<void> {
    const id = takeTarget(number)
    await openTarget()
    if (!isDrainHidden) targets.get(id)!.register({ state: 'draining' })
    drainedAtMs.set(id, performance.now())
    await wait(drainedLifetimeMs)
    await targets.get(id)![Symbol.asyncDispose]()
    store.removeRow('servers', id)
  }

  async function addTargetFaults (durationMs: number): Promise<void> {
    for (const endMs = performance.now() + durationMs; performance.now() < endMs; await wait(faultIntervalMs)) {
      const id = live[Math.floor(getRandom() * live.length)]!
      targets.get(id)!.addFaults([injectedFaults[Math.floor(getRandom() * injectedFaults.length)]!])
    }
    for (const target of targets.values()) target.dropFaults()
  }

  async function applyEvent ({ fault, durationMs, target, instances: numbers, signals }: SoakEvent): Promise<void> {
    const affected = numbers.map(number => instances[number]!)
    const pathState = pathStates[fault]
    const storeFault = storeFaultKinds[fault]
    if (pathState !== undefined) await Promise.all(affected.map(instance => closePath(instance, pathState, durationMs)))
    else if (storeFault !== undefined) await Promise.all(affected.map(instance => failStore(instance, storeFault, durationMs)))
    else if (fault === SoakFault.Pause) await Promise.all(affected.map(instance => instance.pause(durationMs)))
    else if (fault === SoakFault.Kill) await Promise.all(affected.map(instance => instance.restart()))
    else if (fault === SoakFault.Stop) await Promise.all(affected.map(instance => instance.stopAndStart()))
    else if (fault === SoakFault.StopInSeries) await Promise.all(affected.map(instance => instance.stopAndStart(signals)))
    else if (fault === SoakFault.StopAtStart) await Promise.all(affected.map(instance => instance.restartAndStop()))
    else if (fault === SoakFault.Reload) for (const instance of affected) instance.sendSignal('SIGHUP')
    else if (fault === SoakFault.Configure) writeConfig()
    else if (fault === SoakFault.ReplaceTarget) await exchangeTarget(target)
    else if (fault === SoakFault.DrainTarget) await drainTarget(target)
    else await addTargetFaults(durationMs)
  }

  writeConfig()
  for (let index = 0; index < plan.instances * targetsPerInstance + failureDomains.length; index++) await openTarget()
  const instances: SoakInstance[] = []
  for (let index = 0; index < plan.instances; index++) instances.push(cleanup.add(await startSoakInstance({ index, site, failureDomains, store, folder, flags })))
  for (const instance of instances) if (!await waitUntil(instance.isReady)) throw new Error(`Instance "${instance.name}" of the soak is not ready; see its log in "${folder}"`)
  const startMs = performance.now()
  const faults = plan.events.map(async event => {
    await wait(event.atMs)
    await applyEvent(event)
  })
  const calls = await runSoakCallers({ instances, endMs: startMs + plan.durationMs, callersPerInstance, meanPauseMs, getRandom, sabotage })
  await Promise.all(faults)
  const areReady = await Promise.all(instances.map(instance => instance.isReady()))
  const logs = new Map(await Promise.all(instances.map(async instance => [instance.name, await instance.readLog()] as const)))
  return { plan, startMs, calls, targets, drainedAtMs, instances, storeFaults, logs, areReady }
}
