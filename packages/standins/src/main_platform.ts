/**
 * Runs a stand-in of the platform's store as a process of its own, steered by messages of its parent.
 *
 * @module
 */
import type { TargetRecord } from '@bilberryworks/steering'
import type { EndpointFaults, StoreFault } from './site_store.ts'
import { listTargets } from './list_targets.ts'
import { createSiteStore } from './site_store.ts'

/** Faults of the platform. */
export interface PlatformFaults extends EndpointFaults {
  /** How the store answers. */
  fault: StoreFault
}

/** What the parent may ask for; each is answered by the counts. */
export type PlatformCommand =
  { kind: 'fault', faults: Partial<PlatformFaults> } |
  { kind: 'list', targets: TargetRecord[] } |
  { kind: 'count' }

const store = createSiteStore()
const door = await store.openEndpoint()

process.on('message', (command: PlatformCommand) => {
  if (command.kind === 'list') listTargets(store, command.targets)
  if (command.kind === 'fault') {
    const { fault, ...faults } = command.faults
    Object.assign(door.faults, faults)
    if (fault !== undefined) door.setFault(fault)
  }
  process.send?.(door.countCalls())
})
process.once('SIGTERM', () => process.exit(0))
process.once('SIGINT', () => {})
process.once('disconnect', () => process.exit(0))
console.log(JSON.stringify({ ready: true, url: door.url }))
