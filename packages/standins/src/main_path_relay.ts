/**
 * Process that forwards the connections of one instance to targets. The parent process sends commands over the IPC channel.
 *
 * @module
 */
import type { Server, Socket } from 'node:net'
import type { PathRelayCommand, PathRelayReply } from './path_relay.ts'
import { connect, createServer } from 'node:net'
import { formatServerAddress, listen } from './listeners.ts'
import { listenToParent } from './parent_commands.ts'
import { PathState } from './path_relay.ts'

interface RelayListener {
  server: Server
  port: number
}

/** Address of the listeners, which no other program uses: a closed port must not be given to another one. */
const host = process.argv[2]!
const backlog = Number(process.argv[3])
const listeners = new Map<string, RelayListener>()
const sockets = new Set<Socket>()
const emptyBuffer = Buffer.alloc(0)
/** One function for each direction of each open connection, which holds its bytes, or delivers those that are held. */
const directions = new Map<Socket, (isHeld: boolean) => void>()
let state = PathState.Open

function trackSocket (socket: Socket, peer: Socket): void {
  sockets.add(socket)
  socket.setNoDelay(true)
  socket.once('close', hadError => {
    sockets.delete(socket)
    directions.delete(socket)
    if (hadError) peer.resetAndDestroy()
    else peer.destroy()
  })
  socket.on('error', () => {})
}

function forwardConnection (inbound: Socket, destination: string): void {
  const [targetHost = '', port = ''] = destination.split(':')
  const outbound = connect({ host: targetHost, port: Number(port), allowHalfOpen: true })
  trackSocket(inbound, outbound)
  trackSocket(outbound, inbound)
  directions.set(inbound, createDirection(inbound, outbound))
  directions.set(outbound, createDirection(outbound, inbound))
}

/** Forwards the bytes of a socket to its peer; returns a function that holds them, or delivers those that are held. */
function createDirection (from: Socket, to: Socket): (isHeld: boolean) => void {
  let held: Buffer[] = []
  let hasEnded = false
  let isHolding = false
  const retainPart = (part: Buffer): void => { held.push(part) }
  from.once('end', () => { hasEnded = true })
  from.pipe(to)
  return isHeld => {
    if (isHeld === isHolding) return
    isHolding = isHeld
    if (isHeld) {
      from.unpipe(to)
      from.on('data', retainPart).resume()
      return
    }
    from.off('data', retainPart)
    // After a reset that was received together with bytes, a socket reports the end of its input; only a write fails.
    from.write(emptyBuffer, error => {
      if (error === null || error === undefined) forwardHeld()
    })
  }

  function forwardHeld (): void {
    for (const part of held) to.write(part)
    held = []
    if (hasEnded) to.end()
    else from.pipe(to)
  }
}

async function openListener (destination: string): Promise<string> {
  const known = listeners.get(destination)
  if (known !== undefined) return `${host}:${known.port}`
  const server = createServer({ allowHalfOpen: true }, inbound => forwardConnection(inbound, destination))
  await listen(server, host, { backlog })
  const address = formatServerAddress(server)
  listeners.set(destination, { server, port: Number(address.split(':')[1]) })
  if (state !== PathState.Open) server.close()
  return address
}

function applyState (next: PathState): void {
  state = next
  for (const { server, port } of listeners.values()) {
    if (next === PathState.Open && !server.listening) server.listen({ port, host, backlog })
    if (next !== PathState.Open && server.listening) server.close()
  }
  for (const setHeld of directions.values()) setHeld(next === PathState.Holding)
  if (next === PathState.Reset) for (const socket of sockets) socket.resetAndDestroy()
}

async function handleCommand (command: PathRelayCommand): Promise<void> {
  const address = command.kind === 'open' ? await openListener(command.destination) : ''
  if (command.kind === 'state') applyState(command.state)
  const reply: PathRelayReply = { id: command.id, address }
  process.send?.(reply)
}

listenToParent(handleCommand)
