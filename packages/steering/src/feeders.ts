/**
 * The rule by which each target is fed by exactly one instance.
 *
 * @module
 */
import type { InstanceRecord, TargetRecord } from './inventory.ts'
import { MachineState } from './inventory.ts'
import { rankByRendezvous } from './rendezvous.ts'

/**
 * Chooses the instance that sends to a target.
 *
 * Live instances of the target's failure domain come first, then those of its region, then all.
 *
 * @param target The target
 * @param instances Instances known, leaving ones among them
 * @returns The instance, or `undefined` where none is live
 */
export function chooseFeeder (target: TargetRecord, instances: InstanceRecord[]): InstanceRecord | undefined {
  const live = instances.filter(record => record.state === MachineState.Live)
  const circles = [
    live.filter(record => record.failureDomain === target.failureDomain),
    live.filter(record => record.region === target.region),
    live
  ]
  const circle = circles.find(records => records.length > 0)
  if (circle === undefined) return undefined
  const weights = Object.fromEntries(circle.map(record => [record.instance, 1]))
  const best = rankByRendezvous(target.target, weights)[0]
  return circle.find(record => record.instance === best)
}
