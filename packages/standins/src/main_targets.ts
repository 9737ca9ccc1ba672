/**
 * Process that runs a group of fake targets. The parent process sends commands over the IPC channel.
 *
 * @module
 */
import type { StartTargetStandinOptions, TargetBehaviour, TargetStandin } from './target_standin.ts'
import { startTargetStandin } from './target_standin.ts'

/** Command from the parent process; `report` is answered with the requests that the targets ran. */
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
