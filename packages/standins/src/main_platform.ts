/**
 * Process that runs a fake of the platform's store. The parent process sends commands over the IPC channel.
 *
 * @module
 */
import type { TargetRecord } from '@bilberryworks/steering'
import type { EndpointFaults, StoreFault } from './site_store.ts'
import { registerTargets } from './target_rows.ts'
import { createSiteStore } from './site_store.ts'

/** Faults and delays to inject into the platform. */
export interface PlatformFaults extends EndpointFaults {
  /** Fault of the store endpoint. */
  fault: StoreFault
}

/** Command from the parent process; each is answered with the traffic counts of the store endpoint. */
export type PlatformCommand =
  { kind: 'fault', faults: Partial<PlatformFaults> } |
  { kind: 'list', targets: TargetRecord[] } |
  { kind: 'count' }

const store = createSiteStore()
const endpoint = await store.openEndpoint()

process.on('message', (command: PlatformCommand) => {
  if (command.kind === 'list') registerTargets(store, command.targets)
  if (command.kind === 'fault') {
    const { fault, ...faults } = command.faults
    Object.assign(endpoint.faults, faults)
    if (fault !== undefined) endpoint.setFault(fault)
  }
  process.send?.(endpoint.countCalls())
})
process.once('SIGTERM', () => process.exit(0))
process.once('SIGINT', () => {})
process.once('disconnect', () => process.exit(0))
console.log(JSON.stringify({ ready: true, url: endpoint.url }))
