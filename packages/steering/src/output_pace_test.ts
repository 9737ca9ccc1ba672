import test from 'ava'
import { createOutputPace, OutputStep } from './output_pace.ts'

test('tries an output that fails four times a second at most, and writes again after a success', t => {
  const pace = createOutputPace()
  t.is(pace.choose(0), OutputStep.Write)
  pace.recordFailure(0)
  const steps = Array.from({ length: 10_000 }, (_, index) => {
    const step = pace.choose(index / 10)
    if (step === OutputStep.Probe) pace.recordFailure(index / 10)
    return step
  })
  t.is(steps.filter(step => step === OutputStep.Probe).length, 3)
  t.false(steps.includes(OutputStep.Write))
  t.is(pace.choose(1_000), OutputStep.Probe)
  t.is(pace.choose(1_001), OutputStep.Lose)
  pace.recordSuccess()
  t.is(pace.choose(1_002), OutputStep.Write)
})
