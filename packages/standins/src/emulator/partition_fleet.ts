/**
 * Simulates a fleet of entry instances, with the product's own parts, on a network that is partitioned in part.
 *
 * @module
 */
import type { FleetCallers } from './fleet_callers.ts'
import type { FleetRecord } from './fleet_record.ts'
import type { FleetTarget } from './fleet_target.ts'
import type { FleetMutant, FleetWorld } from './fleet_world.ts'
import type { FleetEvent, FleetPlan } from './partition_plan.ts'
import { createFleetCallers } from './fleet_callers.ts'
import { startInstance, stopInstance } from './fleet_instance.ts'
import { EndpointState } from './fleet_connection.ts'
import { removeTargetRow, writeEvacuation, writeTargetRow } from './fleet_store.ts'
import { createFleetTarget } from './fleet_target.ts'
import { createFleetWorld } from './fleet_world.ts'
import { FleetEventKind } from './partition_plan.ts'
import { startVirtualTimers } from './virtual_timers.ts'

/** Options of {@linkcode simulatePartitions}. */
export interface SimulatePartitionsOptions {
  /** What happens. */
  plan: FleetPlan
  /** Returns a random number in [0, 1). */
  getRandom: () => number
  /** Fault of the fleet; none by default. */
  mutant?: FleetMutant
  /** Prefix of the identifiers of attempts whose log lines are kept; none by default. */
  traceId?: string
  /** Whether look-ups leave out instances that reach no target; true by default. */
  isSteered?: boolean
}

/** Time after its start in which a target registers, in milliseconds. */
const registrationMs = 500
/** Time after which the registration of a target that leaves says so, in milliseconds. */
const lateLeavingMs = 6_000
const slots = 3
/** Time after which a target registers that it has become cold, in milliseconds. */
const heartbeatMs = 1_500
const warm = { forMs: 0, slowness: 1 }
/** Delay of rows from which the store counts as away, and the time after which instances notice that it is away or back, in milliseconds. */
const minOutageMs = 5_000
const noticeMs = 1_500

/**
 * Simulates a fleet.
 *
 * @param options What happens, random source and fault
 * @returns What was recorded
 */
export async function simulatePartitions ({ plan, getRandom, mutant, traceId, isSteered = true }: SimulatePartitionsOptions): Promise<FleetRecord> {
  using clock = startVirtualTimers()
  const world = createFleetWorld({ clock, plan, getRandom, mutant, traceId, isSteered })
  const callers = createFleetCallers(world)
  for (let index = 0; index < plan.targets; index++) openTarget(world, index)
  for (let index = 0; index < plan.instances; index++) startInstance(world, index)
  for (const event of plan.events) clock.schedule(event.atMs, () => applyEvent(world, callers, event))
  clock.schedule(plan.warmUpMs, callers.start)
  await clock.runUntil(plan.durationMs)
  return world.record
}

function openTarget (world: FleetWorld, index: number): void {
  const { clock, plan, record, getRandom } = world
  const failureDomain = plan.failureDomains[index % plan.failureDomains.length]!
  const target = createFleetTarget({ id: `t${index}`, failureDomain, slots, cold: plan.cold ?? warm, meanProcessingMs: plan.meanProcessingMs, clock, arrivals: record.arrivals, pauses: record.pauses, getRandom })
  world.targets.set(target.id, target)
  writeTargetRow(world, target)
}

function applyEvent (world: FleetWorld, callers: FleetCallers, event: FleetEvent): void {
  const { clock } = world
  const affected = event.targets.map(id => world.targets.get(id)!)
  switch (event.kind) {
    case FleetEventKind.Link:
      world.changeLinks(event.instances, [...event.targets, ...event.peers], event.link)
      break
    case FleetEventKind.KillInstances:
      for (const name of event.instances) stopInstance(world, name)
      break
    case FleetEventKind.StopTargets:
      for (const target of affected) {
        target.setState(event.isDark ? EndpointState.Dark : EndpointState.Refusing)
        if (!event.isDark) for (const { pool } of world.instances.values()) pool.failConnections(target.id)
      }
      break
    case FleetEventKind.StartTargets:
      for (const target of affected) {
        target.setState(EndpointState.Listening)
        clock.schedule(registrationMs, () => writeTargetRow(world, target))
      }
      break
    case FleetEventKind.SlowTargets:
      for (const target of affected) target.setSlowness(event.factor)
      break
    case FleetEventKind.PauseTargets:
      for (const target of affected) target.setPause(event.pauseSeconds)
      break
    case FleetEventKind.LossyTargets:
      for (const target of affected) target.setLossShare(event.factor)
      break
    case FleetEventKind.LeaveTargets:
      for (const target of affected) {
        target.leave()
        clock.schedule(lateLeavingMs, () => writeTargetRow(world, target, { state: 'draining' }))
      }
      break
    case FleetEventKind.ChillTargets:
      markCold(world, affected)
      break
    case FleetEventKind.LapseTargets:
      for (const target of affected) removeTargetRow(world, target)
      break
    case FleetEventKind.RegisterTargets:
      for (const target of affected) writeTargetRow(world, target)
      break
    case FleetEventKind.Evacuate:
    case FleetEventKind.Restore:
      if (event.isDark) markCold(world, [...world.targets.values()].filter(({ failureDomain }) => event.peers.includes(failureDomain)))
      for (const failureDomain of event.peers) writeEvacuation(world, failureDomain, event.kind === FleetEventKind.Evacuate)
      break
    case FleetEventKind.DelayRows:
      world.rowDelayMs = event.factor
      clock.schedule(noticeMs, () => recordStoreContact(world, event.factor < minOutageMs))
      break
    case FleetEventKind.Load:
      callers.changeLoad(event.factor)
  }
}

function recordStoreContact ({ instances }: FleetWorld, isReached: boolean): void {
  for (const { components } of instances.values()) components.state.recordContact(isReached ? undefined : 'Store is away')
}

/** Makes targets cold, which register that with their next heartbeats. */
function markCold (world: FleetWorld, targets: FleetTarget[]): void {
  for (const target of targets) {
    target.chill()
    world.clock.schedule(heartbeatMs * world.getRandom(), () => writeTargetRow(world, target))
  }
}
