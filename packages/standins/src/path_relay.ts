/**
 * The network path of one instance to all targets, as a process that forwards its connections and can be made to fail.
 *
 * @module
 */
import type { Socket } from 'node:net'
import { connect } from 'node:net'
import { fileURLToPath } from 'node:url'
import { startChild } from './child.ts'

/** State of a path. */
export enum PathState {
  /** Connections are forwarded. */
  Open = 'open',
  /** New connections are refused, and open ones live on. */
  RefusingNew = 'refusing_new',
  /** Open connections are reset, and new ones refused. */
  Reset = 'reset',
  /** Nothing is forwarded or acknowledged: open connections go silent, and new ones are not established. */
  Hanging = 'hanging',
  /** Open connections go silent until the path is open again, which delivers the bytes sent meanwhile on those that were not reset; new ones are refused. */
  Holding = 'holding'
}

/** Command of the parent process; each gets a {@linkcode PathRelayReply} with the same `id`. */
export type PathRelayCommand =
  { kind: 'open', id: number, destination: string } |
  { kind: 'state', id: number, state: PathState }

/** Reply to a command. */
export interface PathRelayReply {
  /** Identifier of the command. */
  id: number
  /** `host:port` that leads to the destination of an `open` command; otherwise an empty string. */
  address: string
}

/** The path of an instance to targets. */
export interface PathRelay extends AsyncDisposable {
  /** Returns the `host:port` by which the instance reaches a target with the given one. */
  mapAddress (destination: string): Promise<string>
  /** Changes the state of the path. */
  setState (state: PathState): Promise<void>
}

const defaultBacklog = 1
const addressesPerBlock = 250
const firstBlock = 16
const blocks = 200
let relayCount = 0

/** Time for a connection to be queued, in milliseconds. */
const fillTimeoutMs = 200

/** Creates a loopback address that no other relay of this process has, and with all likelihood none of another process. */
function createHost (): string {
  const { pid } = process
  return `127.${firstBlock + Math.floor(pid / addressesPerBlock) % 64}.${pid % blocks}.${relayCount++ % addressesPerBlock + 1}`
}

/**
 * Starts the path of an instance.
 *
 * @param backlog Length of the queues of connections that the relay has not accepted yet; 1 by default, so that a few connections fill them
 * @returns The path, which is open; dispose it to end its process
 */
export async function startPathRelay (backlog = defaultBacklog): Promise<PathRelay> {
  const child = await startChild<object>(fileURLToPath(new URL('main_path_relay.js', import.meta.url)), [createHost(), String(backlog)])
  // Linux keeps one more than the stated length.
  const fillingConnections = backlog + 1
  const pendingReplies = new Map<number, (reply: PathRelayReply) => void>()
  const addresses = new Map<string, string>()
  let fillers: Socket[] = []
  let nextId = 1
  child.process.on('message', (reply: PathRelayReply) => {
    pendingReplies.get(reply.id)?.(reply)
    pendingReplies.delete(reply.id)
  })

  function sendCommand (createCommand: (id: number) => PathRelayCommand): Promise<PathRelayReply> {
    const id = nextId++
    return new Promise(resolve => {
      pendingReplies.set(id, resolve)
      child.process.send(createCommand(id))
    })
  }

  /** Stops the process by a signal and fills the queues of its listeners, so that the kernel ignores further connections. */
  async function stopProcess (): Promise<void> {
    child.process.kill('SIGSTOP')
    const queued = [...addresses.values()].flatMap(address => Array.from({ length: fillingConnections }, () => openFiller(address)))
    await Promise.all(queued)
  }

  function openFiller (address: string): Promise<void> {
    const [host = '', port = ''] = address.split(':')
    const socket = connect({ host, port: Number(port) })
    fillers.push(socket)
    socket.on('error', () => {})
    return new Promise(resolve => {
      socket.once('connect', () => resolve())
      setTimeout(resolve, fillTimeoutMs)
    })
  }

  function runProcess (): void {
    for (const socket of fillers) socket.destroy()
    fillers = []
    child.process.kill('SIGCONT')
  }

  return {
    async mapAddress (destination) {
      const known = addresses.get(destination)
      if (known !== undefined) return known
      const { address } = await sendCommand(id => ({ kind: 'open', id, destination }))
      addresses.set(destination, address)
      return address
    },
    async setState (state) {
      runProcess()
      await sendCommand(id => ({ kind: 'state', id, state: state === PathState.Hanging ? PathState.Open : state }))
      if (state === PathState.Hanging) await stopProcess()
    },
    async [Symbol.asyncDispose] () {
      runProcess()
      await child[Symbol.asyncDispose]()
    }
  }
}
