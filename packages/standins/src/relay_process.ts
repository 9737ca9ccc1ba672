/**
 * Starts the relay of a deployment as a child process and commands it.
 *
 * @module
 */
import type { StartChildOptions } from './child.ts'
import type { Deployment } from './deployments.ts'
import type { RelayCommand, RelayReply } from './main_relay.ts'
import type { Place } from './places.ts'
import { startChild } from './child.ts'

/** The relay of a running deployment. */
export interface RelayProcess extends AsyncDisposable {
  /** Opens a listener by name in front of each place; returns its `host:port`. */
  openRoutes (places: Record<string, Place>): Promise<Record<string, string>>
  /** Sets where the connections of a listener go. */
  connectRoute (route: string, destination: string): void
  /** Resets the connections of a listener and refuses new ones until it is connected again. */
  closeRoute (route: string): void
  /** Cuts failure domains off from everything outside of them but callers; in place of those cut off before. */
  isolate (failureDomains: string[]): void
  /** Reads the bytes carried so far between regions, by `from>to`. */
  readLinkBytes (): Promise<Record<string, number>>
}

/**
 * Starts the relay.
 *
 * @param script Path of the compiled script
 * @param deployment The deployment whose latencies and links it adds
 * @param options How to start the process
 * @returns The relay
 */
export async function startRelay (script: string, deployment: Deployment, options: StartChildOptions): Promise<RelayProcess> {
  const child = await startChild<object>(script, [JSON.stringify(deployment)], options)
  const waiting = new Map<number, (reply: RelayReply) => void>()
  let nextId = 1
  child.process.on('message', (reply: RelayReply) => {
    waiting.get(reply.id)?.(reply)
    waiting.delete(reply.id)
  })
  const send = (command: RelayCommand): void => {
    if (child.process.connected) child.process.send(command)
  }
  const ask = async (createCommand: (id: number) => RelayCommand): Promise<RelayReply> => new Promise(resolve => {
    const id = nextId++
    waiting.set(id, resolve)
    send(createCommand(id))
  })
  return {
    openRoutes: async places => (await ask(id => ({ kind: 'open', id, places }))).addresses ?? {},
    connectRoute: (route, destination) => send({ kind: 'connect', route, destination }),
    closeRoute: route => send({ kind: 'close', route }),
    isolate: failureDomains => send({ kind: 'isolate', failureDomains }),
    readLinkBytes: async () => (await ask(id => ({ kind: 'report', id }))).linkBytes ?? {},
    [Symbol.asyncDispose]: child[Symbol.asyncDispose]
  }
}
