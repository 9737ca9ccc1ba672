/**
 * Process that runs a group of fake targets. The parent process sends commands over the IPC channel.
 *
 * @module
 */
import type { StartFakeTargetOptions, TargetBehaviour, FakeTarget } from './fake_target.ts'
import { startFakeTarget } from './fake_target.ts'

/** Command from the parent process; `report` is answered with the requests that the targets ran. */
export type TargetCommand =
  { kind: 'behave', target: string, behaviour: Partial<TargetBehaviour> } |
  { kind: 'report' }

const options = JSON.parse(process.argv[2] ?? '[]') as StartFakeTargetOptions[]
const targets = new Map<string, FakeTarget>()
for (const option of options) targets.set(option.target, await startFakeTarget(option))

process.on('message', (message: TargetCommand) => {
  if (message.kind === 'behave') Object.assign(targets.get(message.target)?.behaviour ?? {}, message.behaviour)
  else process.send?.({ runs: [...targets.values()].flatMap(target => target.runs) })
})
process.once('SIGINT', () => {})
process.once('disconnect', () => process.exit(0))
console.log(JSON.stringify({ ready: true, targets: [...targets.values()].map(target => target.record) }))
