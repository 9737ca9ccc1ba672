/**
 * An entry instance as a process of its own: the real program, with settings and a log in files.
 *
 * @module
 */
import type { ChildProcess } from 'node:child_process'
import type { SocketAddress } from '@bilberryworks/steering'
import { execFileSync, spawn } from 'node:child_process'
import { closeSync, openSync, readdirSync, readFileSync } from 'node:fs'
import { constants } from 'node:os'
import { readFile, writeFile } from 'node:fs/promises'
import { createRequire } from 'node:module'
import { get } from 'node:http'
import { join } from 'node:path'

/** Settings and files of an entry instance. */
export interface EntryFiles {
  /** Name of the instance. */
  name: string
  /** Loopback address of all its listeners. */
  host: string
  /** Address of its listener for callers. */
  callers: SocketAddress
  /** Path of its settings file. */
  settingsFile: string
  /** Path of the file that its log lines are appended to. */
  logFile: string
}

/** Options of {@linkcode writeEntryFiles}. */
export interface WriteEntryFilesOptions {
  /** Number of the instance. */
  index: number
  /** Number of the site, so that several may run in one process. */
  site: number
  /** Failure domains, which the instances take in turn. */
  failureDomains: string[]
  /** Address of the store. */
  store: SocketAddress
  /** Folder for settings and logs. */
  folder: string
  /** What the host allows the instance, in the format of the platform's settings; no limits by default. */
  limits?: Record<string, number>
}

/** Options of {@linkcode startEntryProcess}. */
export interface StartEntryProcessOptions {
  /** Flags of the program; none by default. */
  flags?: string[]
  /** Flags of Node.js; none by default. */
  nodeFlags?: string[]
  /** Path of the program; that of this build by default. */
  program?: string | undefined
  /** Standard output and error; by default both append to the log file. */
  output?: number | 'pipe' | undefined
  /** Whether standard error appends to the log file whatever the output is; `false` by default. */
  logsErrors?: boolean
  /** Size to which the process may write files, in blocks of 512 bytes; unlimited by default. */
  maxFileBlocks?: number
  /** Limit of the number of open descriptors; that of this process by default. */
  maxDescriptors?: number
}

/** Bounds of the instances, in the format of the platform's settings. */
export const entryBounds = { stable_window: '4000ms', drain: '2500ms', grace: '6s', config: '2500ms', retry_ratio: 0.2, retry_slack: 56, budget_window: '10s', cold_over: 1.5, cold_slack: 5, ttl_max: '5s' }

const firstBlock = 100
const blocks = 64
const addressesPerBlock = 240
const instancesPerSite = 30
/** Ports of the listeners of each instance. */
export const entryPorts = { front: 20_001, directory: 20_002, ready: 20_003, control: 20_004, internal: 20_005 }
const readyTimeoutMs = 500
/** Bits of the signals that the program handles; bit N - 1 stands for signal N. */
const handledSignalMask = [constants.signals.SIGHUP, constants.signals.SIGINT, constants.signals.SIGTERM].reduce((mask, number) => mask | 1n << BigInt(number - 1), 0n)
const maxHeapFlag = '--max-old-space-size=96'

/** Running processes of all instances, which must not outlive this process. */
const children = new Set<ChildProcess>()
process.once('exit', () => { for (const child of children) child.kill('SIGKILL') })

/**
 * Writes the settings file of an instance.
 *
 * @param options Number, store and folder
 * @returns The files and addresses
 */
export async function writeEntryFiles ({ index, site, failureDomains, store, folder, limits }: WriteEntryFilesOptions): Promise<EntryFiles> {
  const name = `entry-${index}`
  const host = createHost(site, index)
  const failureDomain = failureDomains[index % failureDomains.length]!
  const settingsFile = join(folder, `${name}.json`)
  await writeFile(settingsFile, JSON.stringify({
    node_name: name,
    zone: failureDomain,
    region: getRegion(failureDomain),
    listen: { front: `${host}:${entryPorts.front}`, directory: `${host}:${entryPorts.directory}`, ready: `${host}:${entryPorts.ready}`, control: `${host}:${entryPorts.control}` },
    internal_ports: [entryPorts.internal, entryPorts.internal],
    seeds: [],
    zones: Object.fromEntries(failureDomains.map(each => [each, getRegion(each)])),
    platform: { address: `${store.host}:${store.port}` },
    bounds: entryBounds,
    limits
  }))
  return { name, host, callers: { host, port: entryPorts.front }, settingsFile, logFile: join(folder, `${name}.log`) }
}

/**
 * Starts the process of an instance, which ends with this process at the latest.
 *
 * @param files Settings and log
 * @param options Program, flags and output
 * @returns The process
 */
export function startEntryProcess ({ settingsFile, logFile }: EntryFiles, options: StartEntryProcessOptions = {}): ChildProcess {
  const { flags = [], nodeFlags = [], output, logsErrors = false, maxFileBlocks, maxDescriptors } = options
  const program = options.program ?? join(createRequire(import.meta.url).resolve('bilberryd'), '..', 'edge', 'main.js')
  const log = openSync(logFile, 'a')
  const limits = [...maxFileBlocks === undefined ? [] : [`ulimit -f ${maxFileBlocks}`], ...maxDescriptors === undefined ? [] : [`ulimit -n ${maxDescriptors}`]]
  const child = spawn('/bin/sh', ['-c', [...limits, 'exec "$0" "$@"'].join('; '), process.execPath, maxHeapFlag, ...nodeFlags, program, ...flags], { env: { PATH: process.env['PATH'], BILBERRYWORKS_CONFIG: settingsFile }, stdio: ['ignore', output ?? log, logsErrors ? log : output ?? log] })
  closeSync(log)
  children.add(child)
  child.once('exit', () => children.delete(child))
  return child
}

/**
 * Asks an instance whether it counts as ready.
 *
 * @param files Addresses of the instance
 * @returns Whether it responded with status 200 within 500 ms
 */
export function isEntryReady ({ host }: EntryFiles): Promise<boolean> {
  return new Promise(resolve => {
    get({ host, port: entryPorts.ready, path: '/ready', agent: false, timeout: readyTimeoutMs }, response => {
      response.resume()
      resolve(response.statusCode === 200)
    }).on('timeout', () => resolve(false)).on('error', () => resolve(false))
  })
}

/**
 * Reads the log lines of all runs of an instance.
 *
 * @param files Log of the instance
 * @returns The lines, parsed from JSON
 */
export async function readEntryLog ({ logFile }: EntryFiles): Promise<Array<Record<string, unknown>>> {
  const text = await readFile(logFile, 'utf8')
  return text.split('\n').filter(line => line.startsWith('{')).flatMap(line => parseLine(line))
}

/**
 * Returns whether a process handles SIGHUP, SIGINT and SIGTERM itself, by what the kernel says of it.
 *
 * @param pid Identifier of the process
 * @returns Whether it does; `false` if it has ended
 */
export function hasSignalHandlers (pid: number): boolean {
  try {
    const caught = /^SigCgt:\s*([0-9a-f]+)$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? '0'
    return (BigInt(`0x${caught}`) & handledSignalMask) === handledSignalMask
  } catch {
    return false
  }
}

/**
 * Lowers the soft limit of descriptors of a running process.
 *
 * @param pid Identifier of the process
 * @param spare Number of descriptors that it may open in addition to those that are open
 * @throws {Error} If the limit can't be set
 */
export function applyDescriptorLimit (pid: number, spare: number): void {
  execFileSync('prlimit', ['--pid', String(pid), `--nofile=${readdirSync(`/proc/${pid}/fd`).length + spare}:`])
}

/** Creates a loopback address that no other instance of this process has, and with all likelihood none of another process. */
function createHost (site: number, index: number): string {
  const { pid } = process
  return `127.${firstBlock + Math.floor(pid / addressesPerBlock) % blocks}.${pid % addressesPerBlock}.${(site * instancesPerSite + index) % addressesPerBlock + 1}`
}

function getRegion (failureDomain: string): string {
  return failureDomain.slice(0, failureDomain.lastIndexOf('-'))
}

/** Parses a log line; a process that is killed may leave a part of one. */
function parseLine (line: string): Array<Record<string, unknown>> {
  try {
    return [JSON.parse(line) as Record<string, unknown>]
  } catch {
    return []
  }
}
