/**
 * The rows of the targets of a simulated fleet, and their delivery to the instances.
 *
 * @module
 */
import type { ColdPlan, FleetPlan } from './partition_plan.ts'
import type { FleetTarget } from './fleet_target.ts'
import type { FleetInstance, FleetRow, FleetWorld } from './fleet_world.ts'
import { ReplicatedTable } from 'bilberryd'
import { createTargetRow } from '../target_rows.ts'
import { fleetHost, fleetService } from './fleet_world.ts'

const deliveryMs = 60
const slots = 3
/** Port of the first target, from which the others count. */
export const firstTargetPort = 1_000

/**
 * Writes the row of a target, as it does itself, and delivers the change to the instances.
 *
 * @param world The fleet
 * @param target The target
 * @param overrides Fields of the row that differ from those of a target that is ready
 */
export function writeTargetRow (world: FleetWorld, target: FleetTarget, overrides: Record<string, unknown> = {}): void {
  const version = computeNextVersion(world)
  const address = `10.0.0.1:${firstTargetPort + Number(target.id.slice(1))}`
  const coldLeftMs = Math.max(0, Math.round(target.getColdUntilMs() - world.clock.getNowMs()))
  const value = createTargetRow({ service: fleetService, address, failureDomain: target.failureDomain, slots }, { seq: version, born: target.getRun(), ...coldLeftMs > 0 ? { cold_left: `${coldLeftMs}ms` } : {}, ...overrides })
  const row: FleetRow = { key: target.id, text: JSON.stringify(value), version }
  world.rows.set(target.id, row)
  sendRow(world, ReplicatedTable.Targets, row)
}

/**
 * Removes the row of a target, as the platform does when it lapses.
 *
 * @param world The fleet
 * @param target The target
 */
export function removeTargetRow (world: FleetWorld, target: FleetTarget): void {
  const version = computeNextVersion(world)
  world.rows.delete(target.id)
  world.removedVersion = version
  sendRow(world, ReplicatedTable.Targets, { key: target.id, text: undefined, version })
}

/**
 * Writes or removes the row by which the operator evacuates a failure domain.
 *
 * @param world The fleet
 * @param failureDomain The failure domain
 * @param isEvacuated Whether it is evacuated from now on
 */
export function writeEvacuation (world: FleetWorld, failureDomain: string, isEvacuated: boolean): void {
  const version = computeNextVersion(world)
  world.removedVersion = version
  sendRow(world, ReplicatedTable.Operator, { key: `evacuate/${failureDomain}`, text: isEvacuated ? '{}' : undefined, version })
}

function computeNextVersion (world: FleetWorld): number {
  return Math.max(1, world.removedVersion, ...[...world.rows.values()].map(row => row.version)) + 1
}

/** Delivers a change to all instances; those of targets with the delay of their feed. */
function sendRow (world: FleetWorld, table: ReplicatedTable, row: { key: string, text: string | undefined, version: number }): void {
  for (const instance of world.instances.values()) {
    const delayMs = table === ReplicatedTable.Targets ? world.rowDelayMs : 0
    world.clock.schedule(delayMs + deliveryMs * (0.5 + world.getRandom()), () => {
      if (instance.isUp) instance.components.state.applyUpdate(table, { asOf: row.version, isSnapshot: false, changes: [row] })
    })
  }
}

/**
 * Delivers the configuration and all rows to an instance that has started.
 *
 * @param world The fleet
 * @param instance The instance
 */
export function applySnapshot (world: FleetWorld, { components }: FleetInstance): void {
  const changes = [...world.rows.values()]
  components.state.applyUpdate(ReplicatedTable.Operator, { asOf: 1, isSnapshot: true, changes: [{ key: 'config', text: JSON.stringify(createConfig(world.plan)), version: 1 }] })
  components.state.applyUpdate(ReplicatedTable.Targets, { asOf: Math.max(1, ...changes.map(row => row.version)), isSnapshot: true, changes })
}

function createConfig ({ homeRegions, cold }: FleetPlan): object {
  const createRoute = (kind: string): object => ({ host: fleetHost, prefix: `/${kind}/`, kind, timeout: '4000ms', latency_slo: '800ms', priority: 1, service: fleetService, max_attempts: 3, session_affinity: true, home_regions: homeRegions })
  return {
    version: 'r1',
    routes: { safe: createRoute('safe'), unsafe: createRoute('unsafe') },
    services: { [fleetService]: { health_path: '/health', max_conns: 330, ...describeColdLimits(cold) } },
    limits: { max_header_bytes: 16_384, max_body_bytes: 1_048_576, header_timeout: '3000ms', idle_timeout: '15000ms' }
  }
}

function describeColdLimits (cold: ColdPlan | undefined): object {
  return cold === undefined ? { cold_start: '0s', cold_per_s: 100 } : { cold_start: `${cold.forMs}ms`, cold_per_s: cold.perSecond }
}
