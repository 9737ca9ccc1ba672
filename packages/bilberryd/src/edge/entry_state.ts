/**
 * The replicated state of an entry instance: the routing configuration, evacuated failure domains and registered targets.
 *
 * @module
 */
import type { Route, RoutingConfig, RouteTable, TargetRegistry } from '@bilberryworks/steering'
import type { CallbackGuard } from './callback_guard.ts'
import type { EntryLog } from './entry_log.ts'
import type { ReportCold, ReportGroupCold } from './report_cold.ts'
import type { RowChange, TableReplica, TableRestoration, TableUpdate } from './table_replica.ts'
import { ColdEvidence, createRouteTable, createTargetRegistry, recordCold } from '@bilberryworks/steering'
import { decodeRouting, isOutdatedOperatorRow, isOutdatedTargetRow, parseEvacuationKey, parseJsonRow, routingKey } from '@bilberryworks/users-platform'
import { GuardedCallback } from './callback_guard.ts'
import { ReplicatedTable } from './replicated_table.ts'
import { createTableReplica } from './table_replica.ts'
import { createTargetRegistrations } from './target_registrations.ts'
import { createUnconfirmedRows } from './unconfirmed_rows.ts'

/** The replicated state of an instance. */
export interface EntryState {
  /** Registered targets. */
  targets: TargetRegistry
  /** Returns the routing configuration in effect; `undefined` until one has been received. */
  getConfig (): RoutingConfig | undefined
  /** Finds the route for a host and path in the routing configuration in effect. */
  findRoute (host: string, path: string): Route | undefined
  /** Returns whether a failure domain is evacuated, that is excluded from target selection by an operator. */
  isEvacuated (failureDomain: string): boolean
  /** Returns a number that increases with each change that can affect target selection. */
  getRevision (): number
  /** Merges an update of a table. */
  applyUpdate (table: ReplicatedTable, update: TableUpdate): void
  /** Returns the replica of a table. */
  getTable (table: ReplicatedTable): TableReplica
  /** Records the result of a call to the store: a description of the failure, or `undefined` if the store responded. */
  recordContact (failure: string | undefined): void
  /** Removes the targets that have not registered again in time after a store outage, and the rows that a restored store still lacks; `nowMs` is monotonic time. */
  removeExpired (nowMs: number): void
  /** Returns the monotonic time of the last response of the store, in milliseconds. */
  getLastContactMs (): number
  /** Returns whether the last call to the store got a response. */
  isStoreReachable (): boolean
}

/** Options of {@linkcode createEntryState}. */
export interface CreateEntryStateOptions {
  /** Runs callbacks. */
  guard: CallbackGuard
  /** Regions by failure domain. */
  regions: Map<string, string>
  /** Structured log. */
  log: EntryLog
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Reports that a target counts as cold from now on. */
  reportCold: ReportCold
  /** Reports that targets of one failure domain count as cold from now on. */
  reportGroupCold: ReportGroupCold
  /** Called after each change that can affect target selection. */
  onChange: () => void
  /** Counts a row that can't be decoded. */
  countUndecodable: (table: ReplicatedTable) => void
}

/**
 * Creates the empty state of an instance that has just started.
 *
 * @param options Regions, log and callbacks
 * @returns The state
 */
export function createEntryState (options: CreateEntryStateOptions): EntryState {
  const { guard, log, getNowMs } = options
  const tables = {
    [ReplicatedTable.Operator]: createTableReplica({ isOutdated: isOutdatedOperatorRow, onRestored: createRestorationHandler(ReplicatedTable.Operator) }),
    [ReplicatedTable.Targets]: createTableReplica({ isOutdated: isOutdatedTargetRow, onRestored: createRestorationHandler(ReplicatedTable.Targets) })
  }
  const unconfirmedRows = createUnconfirmedRows()
  const targets = createTargetRegistry()
  const evacuated = new Set<string>()
  const registrations = createTargetRegistrations({ ...options, targets, getStoreRecoveredAtMs: () => storeRecoveredAtMs })
  let config: RoutingConfig | undefined
  let routes: RouteTable | undefined
  let revision = 0
  let lastContactMs = getNowMs()
  let isStoreUnreachable = false
  let storeRecoveredAtMs = -Infinity

  function createRestorationHandler (table: ReplicatedTable): (restoration: TableRestoration) => void {
    return restoration => {
      const nowMs = getNowMs()
      log.warn('store_restored', { table, ...restoration })
      unconfirmedRows.start(table, nowMs)
      // Registrations that expired in the outage before the restoration are renewed, as after any other outage.
      storeRecoveredAtMs = nowMs
    }
  }

  function applyConfig (text: string): void {
    const next = decodeRouting(parseJsonRow(text))
    if (next === undefined) {
      options.countUndecodable(ReplicatedTable.Operator)
      log.warn('config_undecodable', { bytes: text.length })
      return
    }
    if (config !== undefined && next.version <= config.version) return
    log.info('config_in_force', { version: next.version, before: config?.version, routes: next.routes.length })
    config = next
    routes = createRouteTable(next)
  }

  /** Counts the targets of a failure domain that is taken back as cold: they may be, and their rows may say so later than the operator's row arrives. */
  function markCold (failureDomain: string): void {
    const nowMs = getNowMs()
    for (const service of targets.listServices()) {
      const coldForMs = config?.services.get(service)?.coldForMs ?? 0
      options.reportGroupCold(targets.list(service).filter(entry => entry.target.failureDomain === failureDomain && recordCold(entry, coldForMs, nowMs)), ColdEvidence.TakenBack)
    }
  }

  function applyOperatorChange ({ key, text }: RowChange): void {
    if (key === routingKey) {
      if (text !== undefined) applyConfig(text)
      return
    }
    const failureDomain = parseEvacuationKey(key)
    if (failureDomain === undefined) return
    if (text !== undefined) evacuated.add(failureDomain)
    else if (evacuated.delete(failureDomain)) markCold(failureDomain)
    log.info('evacuation', { failureDomain, evacuated: text !== undefined })
  }

  function applyTableChanges (table: ReplicatedTable, changes: RowChange[]): void {
    if (changes.length === 0) return
    for (const change of changes) guard.run(GuardedCallback.Rows, () => table === ReplicatedTable.Operator ? applyOperatorChange(change) : registrations.applyChange(change))
    revision++
    options.onChange()
  }

  return {
    targets,
    getConfig: () => config,
    findRoute: (host, path) => routes?.findRoute(host, path),
    isEvacuated: failureDomain => evacuated.has(failureDomain),
    getRevision: () => revision + targets.getRevision(),
    applyUpdate: (table, update) => applyTableChanges(table, tables[table].merge(update)),
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
      storeRecoveredAtMs = nowMs
      log.info('store_regained', {})
    },
    removeExpired (nowMs) {
      for (const table of Object.values(ReplicatedTable)) applyTableChanges(table, unconfirmedRows.expire(table, tables[table], nowMs))
      if (registrations.removeExpired(nowMs)) options.onChange()
    },
    getLastContactMs: () => lastContactMs,
    isStoreReachable: () => !isStoreUnreachable
  }
}
