/**
 * Runs stand-ins of targets in a process of their own; each message from the parent is a command.
 *
 * @module
 */
import type { StartTargetStandinOptions, TargetBehaviour, TargetStandin } from './target_standin.ts'
import { startTargetStandin } from './target_standin.ts'

/** A command to the process. */
export type TargetCommand =
  { kind: 'behave', target: string, behaviour: Partial<TargetBehaviour> } |
  { kind: 'report' }

const options = JSON.parse(process.argv[2] ?? '[]') as StartTargetStandinOptions[]
const standins = new Map<string, TargetStandin>()
for (const option of options) standins.set(option.target, await startTargetStandin(option))

process.on('message', (message: TargetCommand) => {
  if (message.kind === 'behave') Object.assign(standins.get(message.target)?.behaviour ?? {}, message.behaviour)
  else process.send?.({ runs: [...standins.values()].flatMap(standin => standin.runs) })
})
process.once('SIGINT', () => {})
process.once('disconnect', () => process.exit(0))
console.log(JSON.stringify({ ready: true, targets: [...standins.values()].map(standin => standin.record) }))
