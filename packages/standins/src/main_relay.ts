/**
 * Process that runs the link relay of a deployment. The parent process sends commands over the IPC channel.
 *
 * @module
 */
import type { LinkProfile, RelayRoute } from './link_relay.ts'
import type { NetworkLocation } from './loopback_addresses.ts'
import { createLinkRelay } from './link_relay.ts'
import { listenToParent } from './parent_commands.ts'

/** Command from the parent process; `open` and `report` get a {@linkcode RelayReply} with the same `id`. */
export type RelayCommand =
  { kind: 'open', id: number, places: Record<string, NetworkLocation> } |
  { kind: 'connect', route: string, destination: string } |
  { kind: 'close', route: string } |
  { kind: 'isolate', failureDomains: string[] } |
  { kind: 'report', id: number }

/** Reply to a command. */
export interface RelayReply {
  /** Identifier of the command that is replied to. */
  id: number
  /** `host:port` of each opened listener, by route name; only in replies to `open`. */
  addresses?: Record<string, string>
  /** Number of bytes forwarded between regions so far, by `from>to`; only in replies to `report`. */
  linkBytes?: Record<string, number>
}

const relay = createLinkRelay(JSON.parse(process.argv[2] ?? '{}') as LinkProfile)
const routes = new Map<string, RelayRoute>()

async function handleCommand (command: RelayCommand): Promise<void> {
  switch (command.kind) {
    case 'open': {
      for (const [name, location] of Object.entries(command.places)) routes.set(name, await relay.openRoute(location))
      const addresses = Object.fromEntries(Object.keys(command.places).map(name => [name, routes.get(name)!.address]))
      reply({ id: command.id, addresses })
      break
    }
    case 'connect':
      routes.get(command.route)?.setDestination(command.destination)
      break
    case 'close':
      routes.get(command.route)?.close()
      break
    case 'isolate':
      relay.isolate(command.failureDomains)
      break
    case 'report':
      reply({ id: command.id, linkBytes: relay.getLinkBytes() })
  }
}

function reply (message: RelayReply): void {
  process.send?.(message)
}

listenToParent(handleCommand)
