/**
 * Sends uploads of any size, generated and hashed while they are sent, so that memory use stays constant.
 *
 * @module
 */
import type { CallerLookUpResponse } from './caller.ts'
import { createHash, randomBytes, randomUUID } from 'node:crypto'
import { Readable } from 'node:stream'
import { request } from 'undici'

const chunkBytes = 64 * 1024

/** Options of {@linkcode sendLargeUpload}. */
export interface SendLargeUploadOptions {
  /** `host:port` of an entry instance. */
  address: string
  /** Name of the service. */
  service: string
  /** Size of the upload, in bytes. */
  bytes: number
}

/** Result of an upload. */
export interface LargeUploadResult {
  /** Value of `Bilberry-Outcome` in the response. */
  outcome: string
  /** Value of `Bilberry-Reason` in the response; `undefined` unless the upload was refused. */
  reason: string | undefined
  /** Whether the SHA-256 digest that the target computed is that of the bytes sent. */
  same: boolean
}

/**
 * Sends one upload of random bytes under a new idempotency key.
 *
 * @param options Destination and size of the upload
 * @returns The result
 */
export async function sendLargeUpload (options: SendLargeUploadOptions): Promise<LargeUploadResult> {
  const lookUp = await request(`http://${options.address}/v1/services/${options.service}/entries`)
  const { entries: [entry] } = await lookUp.body.json() as CallerLookUpResponse
  const digest = createHash('sha256')
  const chunk = randomBytes(chunkBytes)
  async function * listChunks (): AsyncGenerator<Buffer> {
    for (let remainingBytes = options.bytes; remainingBytes > 0; remainingBytes -= chunkBytes) {
      const part = chunk.subarray(0, Math.min(remainingBytes, chunkBytes))
      digest.update(part)
      yield part
    }
  }
  const response = await request(`http://${entry!.address}/services/${options.service}/uploads/large`, {
    method: 'PUT',
    headers: { 'idempotency-key': randomUUID(), 'bilberry-pin': entry!.pin, 'content-length': String(options.bytes) },
    body: Readable.from(listChunks(), { objectMode: false })
  })
  const text = await response.body.text()
  return { outcome: String(response.headers['bilberry-outcome']), reason: response.headers['bilberry-reason'] as string | undefined, same: text.includes(digest.digest('hex')) }
}
