/**
 * The callers of a simulated fleet, which choose instances by look-ups, keep old answers, and send first attempts.
 *
 * @module
 */
import type { FleetAttempt } from './fleet_record.ts'
import type { FleetWorld } from './fleet_world.ts'
import { chooseAddresses } from 'bilberryd'
import { createFakeCall } from './fake_call.ts'
import { recordPassedLeaving } from './fleet_instance.ts'
import { fleetHost, getRegion } from './fleet_world.ts'

/** Callers of a simulated fleet. */
export interface FleetCallers {
  /** Starts to send attempts. */
  start (): void
  /** Changes the rate of attempts to a multiple of the planned one. */
  changeLoad (factor: number): void
}

/** Share of the callers that keep their connections whatever look-ups name. */
const stickyShare = 0.4
/** Times for which callers keep the answer to a look-up, in milliseconds: its time to live, or three times as long. */
const lookUpTtlMs = 1_000
const longLookUpTtlMs = 3_000
const minAddresses = 2
const unsafeShare = 0.35
const timeLeftMs = 4_000
const msPerSecond = 1_000

/**
 * Creates callers that send nothing yet.
 *
 * @param world The fleet
 * @returns The callers
 */
export function createFleetCallers (world: FleetWorld): FleetCallers {
  const { clock, plan, record, getRandom } = world
  const lookUps = new Map<number, { names: string[], untilMs: number }>()
  let load = 1

  function choose<T> (items: readonly T[]): T {
    return items[Math.floor(getRandom() * items.length)]!
  }

  function findInstances (caller: number): string[] {
    const isSticky = caller < plan.callers * stickyShare
    const known = lookUps.get(caller)
    if (known !== undefined && (isSticky || clock.getNowMs() < known.untilMs)) return known.names
    const asked = choose([...world.instances.values()].filter(({ isUp }) => isUp))
    const failureDomain = plan.failureDomains[caller % plan.failureDomains.length]!
    const heartbeats = [asked.components.getHeartbeat(), ...asked.components.listPeers()]
    const addresses = chooseAddresses(world.isSteered ? heartbeats : heartbeats.map(heartbeat => ({ ...heartbeat, unreached: [] })), { failureDomain, region: getRegion(failureDomain) }, { minAddresses })
    const names = addresses.map(address => address.split(':')[0]!)
    lookUps.set(caller, { names: isSticky ? [choose(names)] : names, untilMs: clock.getNowMs() + choose([lookUpTtlMs, longLookUpTtlMs]) })
    return lookUps.get(caller)!.names
  }

  function sendAttempt (caller: number): void {
    const name = choose(findInstances(caller))
    const instance = world.instances.get(name)!
    const isUnsafe = getRandom() < unsafeShare
    const attempt: FleetAttempt = { id: `a${record.attempts.length}`, instance: name, isUnsafe, sentAtMs: clock.getNowMs(), endedAtMs: Infinity, status: undefined, outcome: undefined, timeLeftMs }
    record.attempts.push(attempt)
    if (!instance.isUp) {
      attempt.endedAtMs = clock.getNowMs()
      return
    }
    const call = createFakeCall({
      method: isUnsafe ? 'POST' : 'GET',
      path: isUnsafe ? '/unsafe/x' : '/safe/x',
      rawHeaders: ['Host', fleetHost, 'X-Request-Id', attempt.id, 'X-Timeout-Ms', String(timeLeftMs), 'Cookie', `X-Affinity-Key=${Math.floor(getRandom() * plan.objects)}`],
      onEnd (response) {
        if (attempt.endedAtMs !== Infinity) return
        Object.assign(attempt, { endedAtMs: clock.getNowMs(), status: response.status, outcome: response.fields['bilberry-outcome'] })
        recordPassedLeaving(world, name, response.fields)
      }
    })
    instance.components.requestHandler.handleRequest(call.message, call.response)
  }

  function scheduleAttempt (): void {
    clock.schedule(-Math.log(1 - getRandom()) * msPerSecond / (plan.requestsPerSecond * load), () => {
      sendAttempt(Math.floor(getRandom() * plan.callers))
      scheduleAttempt()
    })
  }

  return {
    start: scheduleAttempt,
    changeLoad (factor) { load = factor }
  }
}
