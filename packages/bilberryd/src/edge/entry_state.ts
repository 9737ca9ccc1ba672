/**
 * What an entry instance believes: the configuration in force, the evacuations and the targets.
 *
 * @module
 */
import type { Route, RoutingConfig, RouteTable, TargetRegistry } from '@bilberryworks/steering'
import type { EntryLog } from './entry_log.ts'
import type { KnownRow, RowChange, RowTable } from './row_tables.ts'
import { createRouteTable, createTargetRegistry } from '@bilberryworks/steering'
import { decodeRouting, decodeTarget, parseEvacuationKey, parseJsonRow, routingKey } from '@bilberryworks/users-platform'
import { createRowTable } from './row_tables.ts'

/** The tables that an instance follows. */
export enum FollowedTable {
  /** Configuration and evacuations. */
  Operator = 'operator',
  /** Registrations of targets. */
  Targets = 'targets'
}

/** What an instance believes. */
export interface EntryState {
  /** The targets. */
  targets: TargetRegistry
  /** Returns the configuration in force; `undefined` until one is known. */
  getConfig (): RoutingConfig | undefined
  /** Finds the route of a request under the configuration in force. */
  findRoute (host: string, path: string): Route | undefined
  /** Tells whether a failure domain is evacuated. */
  isEvacuated (failureDomain: string): boolean
  /** Counts changes of evacuations, configuration and targets that change who may be chosen. */
  getRevision (): number
  /** Merges a whole table. */
  applyRows (table: FollowedTable, rows: KnownRow[], version: number): void
  /** Merges changes of a table. */
  applyChanges (table: FollowedTable, changes: RowChange[]): void
  /** Returns the rows of a table. */
  getTable (table: FollowedTable): RowTable
  /** Takes note of whether the store answers. */
  recordContact (failure: string | undefined): void
  /** Removes the targets whose entries have been missing for long enough. */
  expireMissing (nowMs: number): void
  /** Monotonic time of the last answer of the store, in milliseconds. */
  getLastContactMs (): number
}

/** Options of {@linkcode createEntryState}. */
export interface CreateEntryStateOptions {
  /** Region by failure domain. */
  regions: Map<string, string>
  /** Log of what is believed. */
  log: EntryLog
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Called after each change of who may be chosen. */
  onChange: () => void
  /** Counts rows that can't be decoded. */
  countUndecodable: (table: FollowedTable) => void
}

/** Time after the store's return within which entries that lapsed while it was away come back, in milliseconds: about two seconds by the platform's page, and transit. */
const reregistrationMs = 2_200

/**
 * Creates the state of an instance that knows nothing.
 *
 * @param options Where things are written and called
 * @returns The state
 */
export function createEntryState (options: CreateEntryStateOptions): EntryState {
  const { log, getNowMs } = options
  const tables = { [FollowedTable.Operator]: createRowTable(), [FollowedTable.Targets]: createRowTable() }
  const targets = createTargetRegistry()
  const evacuated = new Set<string>()
  /** Monotonic time at which a target whose entry is missing counts as gone, by identifier. */
  const removalTimes = new Map<string, number>()
  let config: RoutingConfig | undefined
  let routes: RouteTable | undefined
  let revision = 0
  let lastContactMs = getNowMs()
  let isStoreUnreachable = false
  let storeRegainedAtMs = -Infinity

  function applyConfig (text: string): void {
    const next = decodeRouting(parseJsonRow(text))
    if (next === undefined) {
      options.countUndecodable(FollowedTable.Operator)
      log.warn('config_undecodable', { bytes: text.length })
      return
    }
    if (config !== undefined && next.version <= config.version) return
    log.info('config_in_force', { version: next.version, before: config?.version, routes: next.routes.length })
    config = next
    routes = createRouteTable(next)
  }

  function applyOperatorChange ({ key, text }: RowChange): void {
    if (key === routingKey) {
      if (text !== undefined) applyConfig(text)
      return
    }
    const failureDomain = parseEvacuationKey(key)
    if (failureDomain === undefined) return
    if (text === undefined) evacuated.delete(failureDomain)
    else evacuated.add(failureDomain)
    log.info('evacuation', { failureDomain, evacuated: text !== undefined })
  }

  function applyTargetChange ({ key, text, version }: RowChange): void {
    if (text === undefined) {
      markMissing(key)
      return
    }
    const target = decodeTarget(key, parseJsonRow(text))
    if (target === undefined) {
      options.countUndecodable(FollowedTable.Targets)
      log.warn('target_undecodable', { target: key, version })
      return
    }
    removalTimes.delete(key)
    const before = targets.find(key)
    targets.register(target, { region: options.regions.get(target.failureDomain) ?? '', nowMs: getNowMs() })
    if (before?.target.leaving !== target.leaving || target.coldLeftMs > 0) {
      log.info('target', { target: key, service: target.service, failureDomain: target.failureDomain, leaving: target.leaving, coldLeftMs: target.coldLeftMs, version })
    }
  }

  /** Entries lapse while the store is away; those of targets that live come back after its return. */
  function markMissing (id: string): void {
    if (targets.find(id) === undefined) return
    const removeAtMs = storeRegainedAtMs + reregistrationMs
    if (removeAtMs <= getNowMs()) removeTarget(id)
    else removalTimes.set(id, removeAtMs)
  }

  function removeTarget (id: string): void {
    removalTimes.delete(id)
    targets.remove(id)
    log.info('target_gone', { target: id })
  }

  function applyTableChanges (table: FollowedTable, changes: RowChange[]): void {
    if (changes.length === 0) return
    for (const change of changes) {
      if (table === FollowedTable.Operator) applyOperatorChange(change)
      else applyTargetChange(change)
    }
    revision++
    options.onChange()
  }

  return {
    targets,
    getConfig: () => config,
    findRoute: (host, path) => routes?.findRoute(host, path),
    isEvacuated: failureDomain => evacuated.has(failureDomain),
    getRevision: () => revision + targets.getRevision(),
    applyRows: (table, rows, version) => applyTableChanges(table, tables[table].mergeAll(rows, version)),
    applyChanges: (table, changes) => applyTableChanges(table, tables[table].mergeChanges(changes)),
    getTable: table => tables[table],
    recordContact (failure) {
      const nowMs = getNowMs()
      if (failure !== undefined) {
        if (!isStoreUnreachable) log.warn('store_lost', { detail: failure, contactAgeMs: Math.round(nowMs - lastContactMs) })
        isStoreUnreachable = true
        return
      }
      lastContactMs = nowMs
      if (!isStoreUnreachable) return
      isStoreUnreachable = false
      storeRegainedAtMs = nowMs
      log.info('store_regained', {})
    },
    expireMissing (nowMs) {
      let expired = false
      for (const [id, removeAtMs] of removalTimes) {
        if (removeAtMs > nowMs) continue
        removeTarget(id)
        expired = true
      }
      if (expired) options.onChange()
    },
    getLastContactMs: () => lastContactMs
  }
}
