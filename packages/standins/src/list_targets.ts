/**
 * Writes the rows by which the platform lists targets.
 *
 * @module
 */
import type { TargetRecord } from '@bilberryworks/steering'
import type { SiteStore } from './site_store.ts'
import { MachineState } from '@bilberryworks/steering'

/**
 * Registers targets as they would themselves, with the terms of their services as the operator would state them.
 *
 * @param store The store
 * @param targets The targets
 */
export function listTargets (store: SiteStore, targets: TargetRecord[]): void {
  const services = Object.fromEntries(targets.map(target => [target.service, { health_path: '/health', max_conns: target.maxConnections, cold_start: '0ms' }]))
  store.writeRow('op', 'config', { version: 'r1', routes: {}, services })
  for (const { target, service, address, failureDomain, slots, state } of targets) {
    store.writeRow('servers', target, createTargetRow({ service, address, failureDomain, slots }, { state: state === MachineState.Live ? 'ready' : 'draining' }))
  }
}

/**
 * Creates the row of a target.
 *
 * @param target What it says of itself
 * @param change Fields in place of those of a target that is ready and warm
 * @returns The row's value
 */
export function createTargetRow (target: Pick<TargetRecord, 'service' | 'address' | 'failureDomain' | 'slots'>, change: Record<string, unknown> = {}): Record<string, unknown> {
  const { service, address, failureDomain, slots } = target
  return { service, address, zone: failureDomain, version: 'v1', slots, state: 'ready', cold_left: '0ms', seq: 1, born: 1, ...change }
}
