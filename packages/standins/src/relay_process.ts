/**
 * Runs the link relay of a deployment as a child process and sends commands to it.
 *
 * @module
 */
import type { StartChildOptions } from './child.ts'
import type { Deployment } from './deployments.ts'
import type { RelayCommand, RelayReply } from './main_relay.ts'
import type { NetworkLocation } from './loopback_addresses.ts'
import { startChild } from './child.ts'

/** A link relay in a child process. */
export interface RelayProcess extends AsyncDisposable {
  /** Opens a listener at each location; returns the `host:port` of each listener, by route name. */
  openRoutes (locations: Record<string, NetworkLocation>): Promise<Record<string, string>>
  /** Sets the destination `host:port` that a route forwards connections to. */
  connectRoute (route: string, destination: string): void
  /** Resets the connections of a route and refuses new ones until the route is connected again. */
  closeRoute (route: string): void
  /** Separates failure domains from all other locations except callers. Replaces the list of the previous call. */
  isolate (failureDomains: string[]): void
  /** Reads the number of bytes forwarded between regions so far, by `from>to`. */
  readLinkBytes (): Promise<Record<string, number>>
}

/**
 * Starts a relay process.
 *
 * @param script Path of the compiled script `main_relay.js`
 * @param deployment Deployment whose latencies and link capacities the relay simulates
 * @param options Log file and abort signal of the process
 * @returns The relay; dispose it to kill the process
 */
export async function startRelay (script: string, deployment: Deployment, options: StartChildOptions): Promise<RelayProcess> {
  const child = await startChild<object>(script, [JSON.stringify(deployment)], options)
  const pendingReplies = new Map<number, (reply: RelayReply) => void>()
  let nextId = 1
  child.process.on('message', (reply: RelayReply) => {
    pendingReplies.get(reply.id)?.(reply)
    pendingReplies.delete(reply.id)
  })
  const send = (command: RelayCommand): void => {
    if (child.process.connected) child.process.send(command)
  }
  const ask = async (createCommand: (id: number) => RelayCommand): Promise<RelayReply> => new Promise(resolve => {
    const id = nextId++
    pendingReplies.set(id, resolve)
    send(createCommand(id))
  })
  return {
    openRoutes: async locations => (await ask(id => ({ kind: 'open', id, places: locations }))).addresses ?? {},
    connectRoute: (route, destination) => send({ kind: 'connect', route, destination }),
    closeRoute: route => send({ kind: 'close', route }),
    isolate: failureDomains => send({ kind: 'isolate', failureDomains }),
    readLinkBytes: async () => (await ask(id => ({ kind: 'report', id }))).linkBytes ?? {},
    [Symbol.asyncDispose]: child[Symbol.asyncDispose]
  }
}
