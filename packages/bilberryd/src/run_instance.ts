/**
 * Runs an entry instance: opens its listeners, creates its components, and stops it gracefully.
 *
 * @module
 */
import type { RefusalReason } from '@bilberryworks/steering'
import type Logger from 'bunyan'
import type { LineOutput } from './line_output.ts'
import type { Metrics } from './metrics.ts'
import type { Settings } from './settings.ts'
import { createInstanceHandlers } from './instance_handlers.ts'
import { createInstanceComponents } from './instance_components.ts'
import { createDeferredHandler } from './deferred_handler.ts'
import { createListenerLog, openListener } from './open_listener.ts'
import { drainInstance } from './stop.ts'

/** A running instance. */
export interface RunningInstance extends AsyncDisposable {
  /** `host:port` under which clients and peers reach each listener. */
  addresses: { callers: string, operators: string, peers: string }
  /** `host:port` that each listener is bound to, which differs from `addresses` if an address is advertised. */
  listening: { callers: string, operators: string, peers: string }
  /** Applies the tokens, peer keys and certificates of new settings. Throws and changes nothing if a certificate is invalid. */
  reload (next: Settings): void
  /** Counts an error that nothing caught. */
  countUncaughtError (): void
  /** Stops gracefully: announces the stop, keeps serving until look-up responses have expired, and drains requests in flight. */
  stop (): Promise<void>
}

/** Options of {@linkcode runInstance}. */
export interface RunInstanceOptions {
  /** Counts the log lines that were dropped and lost; none are counted by default. */
  logLines?: Pick<LineOutput, 'countDropped' | 'countLost'>
  /** Resolves when the instance is to stop, which ends the wait for addresses that can't be listened on; never by default. */
  stopRequested?: Promise<unknown>
}

const noLogLines = { countDropped: () => 0, countLost: () => 0 }

/**
 * Runs an entry instance until it is stopped or disposed.
 *
 * @param settings Settings of the instance; `reload` updates their tokens and peer keys
 * @param log Logger
 * @param options Counts of log lines, and the request to stop
 * @returns The running instance
 * @throws {ListenError} If an address can't be listened on within 30 s, or a stop is requested before
 */
export async function runInstance (settings: Settings, log: Logger, { logLines = noLogLines, stopRequested }: RunInstanceOptions = {}): Promise<RunningInstance> {
  const deferredHandlers = { callers: createDeferredHandler(), operators: createDeferredHandler(), peers: createDeferredHandler() }
  const waits = new AbortController()
  stopRequested?.then(() => waits.abort(), () => {})
  // Nothing is counted until the metrics are there.
  let counters: Pick<Metrics, 'countRefusal' | 'countListenerError'> = { countRefusal () {}, countListenerError () {} }
  const listenerOptions = {
    headersTimeoutMs: settings.headersTimeoutMs,
    countRefusal: (reason: RefusalReason) => counters.countRefusal(reason),
    countError: (listener: string) => counters.countListenerError(listener),
    log: createListenerLog(log),
    signal: waits.signal,
    getNowMs: () => performance.now(),
    getRandom: Math.random
  }
  // Callers come last, since requests are closed without a response until the handlers are there.
  const peers = await openListener(deferredHandlers.peers.handle, settings.listen.peers, { ...listenerOptions, name: 'peers' })
  const operators = await openListener(deferredHandlers.operators.handle, settings.listen.operators, { ...listenerOptions, name: 'operators' })
  const callers = await openListener(deferredHandlers.callers.handle, settings.listen.callers, { ...listenerOptions, name: 'callers' })
  const listeners = { callers, operators, peers }
  const addresses = {
    callers: settings.advertise?.callers ?? listeners.callers.address,
    operators: listeners.operators.address,
    peers: settings.advertise?.peers ?? listeners.peers.address
  }
  const components = createInstanceComponents(settings, { addresses, log })
  counters = components.metrics
  components.metrics.addLogLines(logLines)
  const handlers = await createInstanceHandlers(components)
  deferredHandlers.callers.update(handlers.callers)
  deferredHandlers.operators.update(handlers.operators)
  deferredHandlers.peers.update(handlers.peers)
  log.info({ addresses, incarnation: components.identity.getRecord().incarnation }, 'Instance started')

  async function dispose (): Promise<void> {
    await Promise.all(Object.values(listeners).map(listener => listener[Symbol.asyncDispose]()))
    await handlers[Symbol.asyncDispose]()
    await components[Symbol.asyncDispose]()
  }
  return {
    addresses,
    listening: { callers: listeners.callers.address, operators: listeners.operators.address, peers: listeners.peers.address },
    reload (next) {
      // All certificates are loaded before the first is applied, so that an invalid one changes nothing.
      const certificateUpdates = (['callers', 'operators', 'peers'] as const).map(name => listeners[name].loadTls(next.listen[name].tls))
      certificateUpdates.forEach(applyUpdate => applyUpdate())
      settings.tokens = next.tokens
      settings.peerKeys = next.peerKeys
      log.info({ tokens: next.tokens.length, peerKeys: next.peerKeys.length }, 'Tokens, peer keys and certificates reloaded')
    },
    countUncaughtError: components.metrics.countUncaughtError,
    async stop () {
      components.identity.markLeaving()
      log.info('Stop requested: instance announces that it is leaving and drains its requests')
      const cutOff = await drainInstance({
        announce: components.sync.announce,
        release: components.ownership.release,
        lookUpTtlMs: settings.lookUpTtlSeconds * 1000,
        clientListeners: [listeners.callers, listeners.operators],
        peerListener: listeners.peers,
        countInFlight: components.slotPool.countInFlight,
        endRequests: handlers.endRequests,
        limitMs: settings.stopLimitMs
      })
      components.metrics.countAbortedRequests(cutOff)
      await dispose()
      log.info({ cutOff }, 'Instance stopped')
    },
    [Symbol.asyncDispose]: dispose
  }
}
