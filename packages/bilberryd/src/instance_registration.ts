/**
 * The announcements of an instance on the platform: heartbeat rows, ordered by start counts.
 *
 * Each incarnation has a row of its own, so that an earlier one that wakes up never overwrites a later one's.
 *
 * @module
 */
import type { Platform, TableRow } from '@bilberryworks/platform'
import type { InstanceRecord, MachineState } from '@bilberryworks/steering'
import type { ClusterView } from './cluster_view.ts'
import { TableName, writeWithIndex } from '@bilberryworks/platform'
import { checkOwnName, OwnNameDecision } from '@bilberryworks/steering'

const staleRowMs = 300_000

/** Options of {@linkcode createInstanceRegistration}. */
export interface CreateInstanceRegistrationOptions {
  /** What the instance knows. */
  view: ClusterView
  /** The platform. */
  platform: Platform
  /** Returns this instance's announcement, with its next sequence number. */
  createAnnouncement: () => InstanceRecord
  /** Called once where a later incarnation runs under this instance's name. */
  recordSuperseded: () => void
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** The announcements of an instance. */
export interface InstanceRegistration {
  /** Returns the announcement with its start count. */
  createRecord (): InstanceRecord
  /** Writes the heartbeat row; resolves to whether the platform answered. */
  writeHeartbeat (): Promise<boolean>
  /** Reads the rows of all instances; resolves to whether the platform answered. */
  readInstances (): Promise<boolean>
  /** Takes an announcement over, and minds those under the own name. */
  mergeInstance (record: InstanceRecord, ageMs?: number): void
}

/**
 * Creates the announcements of an instance.
 *
 * @param options The platform and the announcement
 * @returns The announcer
 */
export function createInstanceRegistration (options: CreateInstanceRegistrationOptions): InstanceRegistration {
  const { view, platform } = options
  const observedRows = new Map<string, { version: number, unchangedSinceMs: number }>()
  let start = 1
  let isStartConfirmed = false
  let isSuperseded = false
  let writtenState: MachineState | undefined

  function createRecord (): InstanceRecord {
    return { ...options.createAnnouncement(), start }
  }

  function mergeInstance (record: InstanceRecord, ageMs = 0): void {
    view.mergeInstance(record, ageMs)
    const own = createRecord()
    if (record.instance !== own.instance) return
    switch (checkOwnName({ ...own, start, confirmed: isStartConfirmed }, record)) {
      case OwnNameDecision.RaiseStart:
        start = (record.start ?? 0) + 1
        break
      case OwnNameDecision.Superseded:
        if (!isSuperseded) options.recordSuperseded()
        isSuperseded = true
        break
      case OwnNameDecision.Ignore: break
    }
  }

  /** Takes a start count above all others under this name, and removes the rows of earlier incarnations. */
  async function claimStartCount (): Promise<boolean> {
    const own = createRecord()
    const rows = await platform.listRows(TableName.Instances, `${own.instance}/`)
    if (rows.isErr()) return false
    const otherRows = rows.value.filter(row => (row.value as InstanceRecord).incarnation !== own.incarnation)
    const newStartCount = Math.max(start, ...otherRows.map(row => ((row.value as InstanceRecord).start ?? 0) + 1))
    const record = { ...own, start: newStartCount }
    const written = await writeWithIndex(platform, [
      { table: TableName.Instances, key: formatInstanceKey(record), value: record },
      { table: TableName.Starts, key: record.instance, value: { start: newStartCount } },
      ...otherRows.map(row => ({ table: TableName.Instances, key: row.key, ifVersion: row.version }))
    ], index => ({ ...index, members: index.members + 1 }))
    if (written.isErr()) return false
    start = newStartCount
    isStartConfirmed = true
    return true
  }

  async function writeRow (): Promise<boolean> {
    const record = createRecord()
    const write = { table: TableName.Instances, key: formatInstanceKey(record), value: record }
    const hasStateChanged = record.state !== writtenState
    const written = hasStateChanged
      ? await writeWithIndex(platform, [write], index => ({ ...index, members: index.members + 1 }))
      : await platform.writeRows([write])
    if (written.isOk()) writtenState = record.state
    return written.isOk()
  }

  /** Removes a row that has not changed for long. */
  async function removeStaleRow (row: TableRow): Promise<void> {
    const nowMs = options.getNowMs()
    const known = observedRows.get(row.key)
    if (known?.version !== row.version) observedRows.set(row.key, { version: row.version, unchangedSinceMs: nowMs })
    else if (nowMs - known.unchangedSinceMs > staleRowMs) {
      observedRows.delete(row.key)
      await platform.writeRows([{ table: TableName.Instances, key: row.key, ifVersion: row.version }])
    }
  }

  return {
    createRecord,
    mergeInstance,
    async writeHeartbeat () {
      view.mergeInstance(createRecord())
      if (!isStartConfirmed) {
        if (!await claimStartCount()) return false
        writtenState = options.createAnnouncement().state
        return true
      }
      return writeRow()
    },
    async readInstances () {
      const rows = await platform.listRows(TableName.Instances, '')
      if (rows.isErr()) return false
      for (const row of rows.value) {
        mergeInstance(row.value as InstanceRecord)
        await removeStaleRow(row)
      }
      const presentKeys = new Set(rows.value.map(row => row.key))
      for (const key of observedRows.keys()) {
        if (!presentKeys.has(key)) observedRows.delete(key)
      }
      return true
    }
  }
}

/**
 * Formats the key of an instance's row.
 *
 * @param record The announcement
 * @returns The key
 */
export function formatInstanceKey (record: InstanceRecord): string {
  return `${record.instance}/${record.incarnation}`
}
