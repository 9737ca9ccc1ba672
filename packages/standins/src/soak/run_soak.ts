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
import type { SoakService } from './soak_site.ts'
import { setTimeout as wait } from 'node:timers/promises'
import { createCleanupStack } from '@bilberryworks/steering'
import { createSeededRandom } from '../emulator/seeded_random.ts'
import { PathState } from '../path_relay.ts'
import { createSiteStore, StoreFault } from '../site_store.ts'
import { openSiteTarget, TargetFault, WrongBytes } from '../site_target.ts'
import { waitUntil } from '../test_site.ts'
import { applyBytesFault, limitedMemoryMb } from './soak_bytes.ts'
import { runSoakCallers } from './soak_callers.ts'
import { startSoakInstance } from './soak_instance.ts'
import { applyHostFault, hostFaults } from './soak_host.ts'
import { SoakFault } from './soak_plan.ts'
import { watchHolds } from './soak_holds.ts'
import { createSoakConfig, createSoakSite, SoakScale } from './soak_site.ts'

/** Options of {@linkcode runSoak}. */
export interface RunSoakOptions {
  /** What happens. */
  plan: SoakPlan
  /** Folder for settings and logs. */
  folder: string
  /** Number of the site, so that several soaks may run in one process; 0 by default. */
  site?: number
  /** Size of the deployment; small by default. */
  scale?: SoakScale
  /** Flags of the instances; none by default. */
  flags?: string[]
  /** Flags of Node.js; none by default. */
  nodeFlags?: string[]
  /** Path of the program; that of this build by default. */
  program?: string | undefined
  /** Fault that is put between callers and instances; none by default. */
  sabotage?: SoakSabotage
  /** Whether the store hides from the instances that targets leave, as a fault; false by default. */
  isDrainHidden?: boolean
}

const responsesPerClose = 30
const drainedLifetimeMs = 6_000
const injectedFaults = [TargetFault.ResponseLost, TargetFault.Shed, TargetFault.Failed, TargetFault.ResponseTruncated, TargetFault.ResponseUnsigned, TargetFault.UnmarkedRefusal]
const wrongBytes = Object.values(WrongBytes)
const faultIntervalMs = 100
const configIntervalMs = 330
const usageIntervalMs = 250
const pathStates: Partial<Record<SoakFault, PathState>> = { [SoakFault.PathReset]: PathState.Reset, [SoakFault.PathHanging]: PathState.Hanging, [SoakFault.PathRefusing]: PathState.RefusingNew }
const storeFaultKinds: Partial<Record<SoakFault, StoreFault>> = { [SoakFault.StoreBusy]: StoreFault.Busy, [SoakFault.StoreSilent]: StoreFault.Unreachable, [SoakFault.StoreReset]: StoreFault.Reset }

/**
 * Runs a soak.
 *
 * @param options Plan and folder
 * @returns What was recorded
 * @throws {Error} If an instance is not ready in time at the start
 */
export async function runSoak ({ plan, folder, site = 0, scale = SoakScale.Small, flags = [], nodeFlags = [], program, sabotage, isDrainHidden = false }: RunSoakOptions): Promise<SoakRecord> {
  await using cleanup = createCleanupStack()
  const store = cleanup.add(createSiteStore())
  const deployment = createSoakSite(scale, plan.instances)
  const { failureDomains, backlog } = deployment
  const targets = new Map<string, SiteTarget>()
  const services = new Map<string, SoakService>()
  const live: string[] = []
  const drainedAtMs = new Map<string, number>()
  const storeFaults: TimeSpan[] = []
  const faultyTargets = new Map<string, TimeSpan[]>()
  const getRandom = createSeededRandom(`load ${plan.seed}`)
  const isUnderStoreFault = new Set<SoakInstance>()
  let [version, hasAddedRoutes] = [0, false]

  function writeConfig (): void {
    version += 3
    store.writeRow('op', 'config', createSoakConfig(deployment, { version, hasAddedRoutes }))
  }

  async function openTarget (service: SoakService): Promise<void> {
    const id = `t${targets.size}`
    const [fromMs, toMs] = service.processingMs
    targets.set(id, cleanup.add(await openSiteTarget(store, { service: service.name, slots: service.slots, getProcessingMs: () => fromMs + Math.random() * (toMs - fromMs), responsesPerClose, id, failureDomain: failureDomains[targets.size % failureDomains.length]! })))
    services.set(id, service)
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
    await openTarget(services.get(id)!)
  }

  async function drainTarget (number: number): Promise<void> {
    const id = takeTarget(number)
    await openTarget(services.get(id)!)
    if (!isDrainHidden) targets.get(id)!.register({ state: 'draining' })
    drainedAtMs.set(id, performance.now())
    await wait(drainedLifetimeMs)
    await targets.get(id)![Symbol.asyncDispose]()
    store.removeRow('servers', id)
  }

  async function addTargetFaults (durationMs: number, addFault: (target: SiteTarget) => void): Promise<void> {
    for (const endMs = performance.now() + durationMs; performance.now() < endMs; await wait(faultIntervalMs)) addFault(targets.get(select(live))!)
    for (const target of targets.values()) target.dropFaults()
  }

  function select<T> (values: readonly T[]): T {
    return values[Math.floor(getRandom() * values.length)]!
  }

  async function writeConfigs (durationMs: number): Promise<void> {
    for (const endMs = performance.now() + durationMs; performance.now() < endMs; await wait(configIntervalMs)) writeConfig()
  }

  async function applyEvent ({ fault, durationMs, target, instances: numbers, signals, bytes }: SoakEvent): Promise<void> {
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
    else if (fault === SoakFault.ConfigureOften) await writeConfigs(durationMs)
    else if (fault === SoakFault.ChangeRoutes) {
      hasAddedRoutes = !hasAddedRoutes
      writeConfig()
    } else if (fault === SoakFault.WrongBytes) await addTargetFaults(durationMs, target => target.addWrongBytes([select(wrongBytes)]))
    else if (bytes !== undefined) await applyBytesFault({ bytes, durationMs, target }, { affected, targets, ids: live.filter(id => services.get(id) === services.get(live[target % live.length]!)), faultyTargets })
    else if (hostFaults.has(fault)) await Promise.all(affected.map(instance => applyHostFault(instance, { fault, durationMs, target })))
    else await addTargetFaults(durationMs, target => target.addFaults([select(injectedFaults)]))
  }

  writeConfig()
  for (const service of deployment.services) for (let index = 0; index < service.targets; index++) await openTarget(service)
  const hasPipe = plan.events.some(({ fault }) => fault === SoakFault.OutputClosed)
  const memoryMb = plan.events.some(({ bytes }) => bytes !== undefined) ? limitedMemoryMb : undefined
  const instances: SoakInstance[] = []
  for (let index = 0; index < plan.instances; index++) instances.push(cleanup.add(await startSoakInstance({ index, site, failureDomains, backlog, store, folder, flags, nodeFlags, program, hasPipe, memoryMb })))
  for (const instance of instances) if (!await waitUntil(instance.isReady)) throw new Error(`Instance "${instance.name}" of the soak is not ready; see its log in "${folder}"`)
  for (const { process } of instances) process.recordIdleDescriptors()
  const startMs = performance.now()
  const faults = plan.events.map(async event => {
    await wait(event.atMs)
    await applyEvent(event)
  })
  const sampling = setInterval(() => { for (const { process } of instances) process.sampleUsage() }, usageIntervalMs)
  const holds = cleanup.add(watchHolds())
  const calls = await runSoakCallers({ instances, endMs: startMs + plan.durationMs, site: deployment, getRandom, sabotage })
  await Promise.all(faults)
  clearInterval(sampling)
  const areReady = await Promise.all(instances.map(instance => instance.isReady()))
  const logs = new Map(await Promise.all(instances.map(async instance => [instance.name, await instance.readLog()] as const)))
  return { plan, startMs, calls, targets, drainedAtMs, instances, storeFaults, faultyTargets, memoryMb, holds: holds.spans, logs, areReady }
}
