import type { IncomingMessage } from 'node:http'
import type { CollectedBody } from './collect_body.ts'
import { once } from 'node:events'
import { PassThrough } from 'node:stream'
import test from 'ava'
import { createBufferAllowance } from './buffer_allowance.ts'
import { collectBody } from './collect_body.ts'

const maxBufferedBytes = 262_144

test('a body that is received in parts of one byte is collected in few buffers', async t => {
  const message = Object.assign(new PassThrough(), { headers: {} })
  let collected: CollectedBody | undefined
  collectBody(message as unknown as IncomingMessage, {
    runGuarded: work => work(),
    maxBufferedBytes,
    maxBytes: Infinity,
    allowance: createBufferAllowance(Infinity),
    onCollected: body => { collected = body },
    onTooLarge: () => t.fail()
  })
  for (let index = 0; index < maxBufferedBytes; index++) if (!message.write(Buffer.from([index & 0xff]))) await once(message, 'drain')
  message.end()
  await once(message, 'end')
  t.is(collected?.bytes, maxBufferedBytes)
  t.true(collected!.parts.length <= 32, `${collected!.parts.length} buffers`)
  t.deepEqual(Buffer.concat(collected!.parts), Buffer.from(Array.from({ length: maxBufferedBytes }, (_, index) => index & 0xff)))
})
