/**
 * Plans of a soak with one fault of the host of one instance.
 *
 * @module
 */
import type { SoakPlan } from './soak_plan.ts'
import { SoakFault } from './soak_plan.ts'

function createPlan (fault: SoakFault, faultMs = 0, target = 0): SoakPlan {
  return { seed: 1, instances: 2, durationMs: 17_000, calmMs: 8_000, events: [{ atMs: 2_000, durationMs: faultMs, fault, instances: [0], target }] }
}

/** Plans by what the host takes away or asks for. */
export const hostPlans = {
  output: createPlan(SoakFault.OutputClosed),
  address: createPlan(SoakFault.AddressTaken, 5_000),
  settings: createPlan(SoakFault.SettingsSlow, 4_000),
  descriptors: createPlan(SoakFault.DescriptorsLow, 6_000),
  stop: createPlan(SoakFault.Stop),
  processor: createPlan(SoakFault.ProcessorCapped, 4_000, 500)
}
