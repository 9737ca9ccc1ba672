/**
 * The heartbeats between the instances of a simulated fleet, in the product's own encoding, with latency, losses and cuts.
 *
 * @module
 */
import type { FleetInstance, FleetWorld } from './fleet_world.ts'
import { formatUpdate, parseHeartbeat, parseUpdate, UpdateResult } from 'bilberryd'
import { LinkState } from './fleet_connection.ts'
import { computeLatencyMs } from './fleet_world.ts'

const lostShare = 0.01
const intervalMs = 1_000
/** Rounds after which a heartbeat goes to other regions, too. */
const remoteRounds = 2

/**
 * Starts the heartbeats of an instance, which introduces itself to all others first.
 *
 * @param world The fleet
 * @param instance The instance
 */
export function startHeartbeats (world: FleetWorld, instance: FleetInstance): void {
  for (const other of world.instances.values()) sendIntroduction(world, instance, other)
  scheduleHeartbeat(world, { instance, round: 0 })
}

/**
 * Sends a heartbeat to all other instances, or to those in the same region.
 *
 * @param world The fleet
 * @param instance The sender
 * @param isRemoteRound Whether to send it to other regions, too
 */
export function sendHeartbeats (world: FleetWorld, instance: FleetInstance, isRemoteRound: boolean): void {
  const text = formatUpdate(instance.components.getHeartbeat())
  for (const other of world.instances.values()) {
    if (isRemoteRound || other.settings.region === instance.settings.region) sendMessage(world, { from: instance, to: other }, () => handleUpdate(world, { receiver: other, sender: instance, text }))
  }
}

function scheduleHeartbeat (world: FleetWorld, { instance, round }: { instance: FleetInstance, round: number }): void {
  world.clock.schedule(intervalMs * (0.95 + 0.1 * world.getRandom()), () => {
    if (!instance.isUp) return
    sendHeartbeats(world, instance, round % remoteRounds === 0)
    scheduleHeartbeat(world, { instance, round: round + 1 })
  })
}

/** Delivers a message after the latency, unless it is lost or the path is cut. */
function sendMessage (world: FleetWorld, { from, to }: { from: FleetInstance, to: FleetInstance }, handle: () => void): void {
  if (to === from || world.getRandom() < lostShare) return
  world.clock.schedule(computeLatencyMs(from.settings.failureDomain, to.settings.failureDomain), () => {
    if (to.isUp && world.getLink(from.name, to.name) === LinkState.Open) handle()
  })
}

function sendIntroduction (world: FleetWorld, sender: FleetInstance, receiver: FleetInstance): void {
  const text = JSON.stringify(sender.components.getHeartbeat())
  sendMessage(world, { from: sender, to: receiver }, () => {
    const heartbeat = parseHeartbeat(text)
    if (heartbeat === undefined) throw new Error(`Heartbeat "${text}" can't be parsed`)
    if (receiver.components.view.recordHeartbeat(heartbeat, world.clock.getNowMs())) sendIntroduction(world, receiver, sender)
  })
}

function handleUpdate (world: FleetWorld, { receiver, sender, text }: { receiver: FleetInstance, sender: FleetInstance, text: string }): void {
  const update = parseUpdate(text)
  if (update === undefined) throw new Error(`Heartbeat "${text}" can't be parsed`)
  const { components } = receiver
  if (components.view.recordUpdate(update, world.clock.getNowMs()) === UpdateResult.Unknown) sendMessage(world, { from: receiver, to: sender }, () => sendIntroduction(world, sender, receiver))
  components.targetReports.handlePeerReports(update.instance, update.targetReports)
  if (update.crashReports !== undefined) components.crashGuard.mergeReports(update.instance, update.crashReports)
}
