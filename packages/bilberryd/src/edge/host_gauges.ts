/**
 * Reads the gauges of descriptors and memory.
 *
 * @module
 */
import type { DescriptorBudget } from './descriptor_limits.ts'
import type { MemoryBudget } from './memory_limits.ts'
import { countOpen } from './descriptor_limits.ts'
import { EntryGauge } from './entry_metrics.ts'
import { measureMemory, measureOldHeap } from './memory_limits.ts'

/** Budgets of the host. */
export interface HostBudgets {
  /** Descriptors. */
  descriptors: DescriptorBudget
  /** Memory. */
  memory: MemoryBudget
}

/** Gauges of descriptors and memory. */
export type HostGauge = EntryGauge.OpenDescriptors | EntryGauge.MaxConnections | EntryGauge.ReservedConnections | EntryGauge.CallerConnections | EntryGauge.MaxCallerConnections | EntryGauge.MaxTargetConnections | EntryGauge.HeapUsed | EntryGauge.MaxHeap | EntryGauge.ResidentBytes | EntryGauge.MaxResidentBytes | EntryGauge.BufferBytes | EntryGauge.BodyBytes | EntryGauge.MaxBodyBytes

/**
 * Creates the functions that read the gauges.
 *
 * @param getHost Returns the budgets; called at each reading only
 * @returns The functions
 */
export function createHostGaugeReaders (getHost: () => HostBudgets): Record<HostGauge, () => number> {
  return {
    [EntryGauge.OpenDescriptors]: countOpen,
    [EntryGauge.MaxConnections]: () => getHost().descriptors.getShares().total,
    [EntryGauge.ReservedConnections]: () => getHost().descriptors.getShares().reserved,
    [EntryGauge.CallerConnections]: () => getHost().descriptors.countCallers(),
    [EntryGauge.MaxCallerConnections]: () => getHost().descriptors.getMaxCallers(),
    [EntryGauge.MaxTargetConnections]: () => getHost().descriptors.getMaxTargets(),
    [EntryGauge.HeapUsed]: measureOldHeap,
    [EntryGauge.MaxHeap]: () => getHost().memory.shares.oldHeapBytes,
    [EntryGauge.ResidentBytes]: () => measureMemory().residentBytes ?? 0,
    [EntryGauge.MaxResidentBytes]: () => getHost().memory.getLimitBytes(),
    [EntryGauge.BufferBytes]: () => measureMemory().bufferBytes,
    [EntryGauge.BodyBytes]: () => getHost().memory.bodies.getUsedBytes(),
    [EntryGauge.MaxBodyBytes]: () => getHost().memory.shares.bodyBytes
  }
}
