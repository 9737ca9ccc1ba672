/**
 * Tells the story of a request from the logs of the instances that handled it.
 *
 * @module
 */
import type { LogLine } from './log_lines.ts'

/** What a step of a story is. */
export enum StepKind {
  /** A decision on the request. */
  Decision = 'decision',
  /** What the deciding instance believed. */
  Belief = 'belief',
  /** What other instances knew or met meanwhile. */
  Elsewhere = 'elsewhere'
}

/** A step of a story. */
export interface StoryStep {
  /** Time, in milliseconds since the epoch. */
  atMs: number
  /** Instance that wrote it. */
  instance: string
  /** What it is. */
  kind: StepKind
  /** What happened, in one line. */
  text: string
}

/** Time before and after a request within which the state of its targets and instances is told, in milliseconds: several times the longest silence that is waited for. */
const vicinityMs = 10_000
/** Events that change what an instance believes, and are told where they fall near a request. */
const nearbyEvents = new Set(['evacuation', 'reloaded', 'settings_kept', 'standstill', 'started', 'stopping', 'stopped', 'store_lost', 'store_regained', 'table_from_peer', 'log_dropped'])
const configEvent = 'config_in_force'

/**
 * Explains a request.
 *
 * @param id Its identifier
 * @param lines Log lines of all instances, in the order of their time
 * @returns The steps in the order of their time; none where no line names the request
 */
export function describeRequest (id: string, lines: LogLine[]): StoryStep[] {
  const own = lines.filter(line => line.fields['id'] === id)
  const first = own[0]
  const last = own.at(-1)
  if (first === undefined || last === undefined) return []
  const span = { fromMs: first.atMs - readNumber(last.fields['elapsedMs']), toMs: last.atMs }
  const instances = new Set(own.map(line => line.instance))
  const steps = own.map(line => createStep(line, StepKind.Decision))
  for (const instance of instances) steps.push(...describeConfig(lines, { instance, ...span }), ...describeVicinity(lines, { instance, ...span }))
  for (const target of listTargets(own)) steps.push(...describeTarget(lines, { id, target, instances, ...span }))
  return steps.sort((a, b) => a.atMs - b.atMs)
}

interface Span {
  fromMs: number
  toMs: number
}

/** Tells which configuration the instance had, and whether others had a later one by then. */
function describeConfig (lines: LogLine[], around: Span & { instance: string }): StoryStep[] {
  const { instance, toMs } = around
  const earlier = lines.filter(line => line.event === configEvent && line.atMs <= toMs)
  const held = earlier.findLast(line => line.instance === instance)
  if (held === undefined) return [{ atMs: around.fromMs, instance, kind: StepKind.Belief, text: 'no configuration was in force' }]
  const version = readNumber(held.fields['version'])
  const steps = [createStep(held, StepKind.Belief, `configuration ${version} came in force`)]
  const later = earlier.find(line => readNumber(line.fields['version']) > version)
  if (later !== undefined) steps.push(createStep(later, StepKind.Elsewhere, `configuration ${readNumber(later.fields['version'])} came in force here, ${toMs - later.atMs} ms before the end of the request`))
  const next = lines.find(line => line.event === configEvent && line.instance === instance && line.atMs > toMs)
  if (next !== undefined && next.atMs - toMs < vicinityMs) steps.push(createStep(next, StepKind.Belief, `configuration ${readNumber(next.fields['version'])} came in force, after the request`))
  return steps
}

/** Tells what else changed at the instance near the request, and whether its store was lost by then. */
function describeVicinity (lines: LogLine[], around: Span & { instance: string }): StoryStep[] {
  const own = lines.filter(line => line.instance === around.instance && nearbyEvents.has(line.event))
  const store = own.findLast(line => line.event.startsWith('store_') && line.atMs <= around.toMs)
  const near = own.filter(line => isNear(line, around) || (line === store && line.event === 'store_lost'))
  return near.map(line => createStep(line, StepKind.Belief))
}

/** Tells what the instances believed of a target, and how it failed other requests. */
function describeTarget (lines: LogLine[], around: Span & { id: string, target: string, instances: Set<string> }): StoryStep[] {
  const named = lines.filter(line => line.fields['target'] === around.target && line.fields['id'] !== around.id)
  const state = named.filter(line => line.fields['id'] === undefined && around.instances.has(line.instance))
  const known = state.findLast(line => line.atMs <= around.toMs)
  const steps = state.filter(line => line === known || isNear(line, around)).map(line => createStep(line, StepKind.Belief))
  const failed = named.filter(line => line.event === 'exchange_failed' && isNear(line, around))
  const firstFailed = failed[0]
  if (firstFailed === undefined) return steps
  const signals = [...new Set(failed.map(line => String(line.fields['signal'])))].join(', ')
  return [...steps, createStep(firstFailed, StepKind.Elsewhere, `target ${around.target} began to fail other requests: ${failed.length} at ${new Set(failed.map(line => line.instance)).size} instances within ${vicinityMs / 1_000} s (${signals})`)]
}

function listTargets (own: LogLine[]): string[] {
  const targets = own.flatMap(({ fields }) => {
    const sends = Array.isArray(fields['sends']) ? fields['sends'] as Array<{ target: string }> : []
    return [fields['target'], ...sends.map(send => send.target)]
  })
  return [...new Set(targets.filter(target => typeof target === 'string'))]
}

function isNear (line: LogLine, { fromMs, toMs }: Span): boolean {
  return line.atMs >= fromMs - vicinityMs && line.atMs <= toMs + vicinityMs
}

function createStep (line: LogLine, kind: StepKind, text = formatLine(line)): StoryStep {
  return { atMs: line.atMs, instance: line.instance, kind, text }
}

/** The identifier is that of the whole story. */
function formatLine ({ event, fields }: LogLine): string {
  const told = Object.entries(fields).filter(([name]) => name !== 'id')
  return [event, ...told.map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)].join(' ')
}

function readNumber (value: unknown): number {
  return typeof value === 'number' ? value : 0
}
