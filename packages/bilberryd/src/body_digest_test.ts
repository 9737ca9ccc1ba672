import test from 'ava'
import { Readable } from 'node:stream'
import { createDigestedBody, readBodyDigest } from './body_digest.ts'

test('computes no digest of a body that is discarded or destroyed before its end', async t => {
  for (const interrupt of [(source: Readable) => source.removeAllListeners('readable').resume(), (source: Readable) => source.destroy()]) {
    const sources = [0, 1].map(() => new Readable({ read () {} }))
    const [first, second] = sources as [Readable, Readable]
    const { body, getDigest } = createDigestedBody(first)
    const streamed = body.toArray().then(() => 'whole', () => 'cut')
    const digest = readBodyDigest(second)
    for (const source of sources) source.push(Buffer.from('half'))
    await new Promise(resolve => setTimeout(resolve, 10))
    for (const source of sources) {
      interrupt(source)
      source.push(Buffer.from('rest'))
      source.push(null)
    }
    t.deepEqual([await streamed, getDigest(), await digest], ['cut', undefined, undefined])
  }
})
