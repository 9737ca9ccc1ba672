/**
 * Writes the rows in which the platform lists targets.
 *
 * @module
 */
import type { TargetRecord } from '@bilberryworks/steering'
import type { SiteStore } from './site_store.ts'
import { LifecycleState } from '@bilberryworks/steering'

/**
 * Writes the row of each target, as the target itself would, and a configuration with their services, as the operator
 * would.
 *
 * @param store Store to write to
 * @param targets Targets to register
 */
export function registerTargets (store: SiteStore, targets: TargetRecord[]): void {
  const services = Object.fromEntries(targets.map(target => [target.service, { health_path: '/health', max_conns: target.maxConnections, cold_start: '0ms' }]))
  store.writeRow('op', 'config', { version: 'r1', routes: {}, services })
  for (const { target, service, address, failureDomain, slots, state } of targets) {
    store.writeRow('servers', target, createTargetRow({ service, address, failureDomain, slots }, { state: state === LifecycleState.Live ? 'ready' : 'draining' }))
  }
}

/**
 * Creates the value of the row of a target.
 *
 * @param target Identity and capacity of the target
 * @param overrides Fields that differ from those of a target that is ready and has no cold start left
 * @returns Value of the row
 */
export function createTargetRow (target: Pick<TargetRecord, 'service' | 'address' | 'failureDomain' | 'slots'>, overrides: Record<string, unknown> = {}): Record<string, unknown> {
  const { service, address, failureDomain, slots } = target
  return { service, address, zone: failureDomain, version: 'v1', slots, state: 'ready', cold_left: '0ms', seq: 1, born: 1, ...overrides }
}
