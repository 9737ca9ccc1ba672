/**
 * A request handler that can be listened with before what it needs is there.
 *
 * @module
 */
import type { RequestListener } from 'node:http'

/** A handler that is completed later. */
export interface LateHandler {
  /** Handles a request; closes the connection where the handler is not set yet. */
  handle: RequestListener
  /** Sets the handler. */
  update (handler: RequestListener): void
}

/**
 * Creates a handler that is not set yet.
 *
 * @returns The handler
 */
export function createLateHandler (): LateHandler {
  let current: RequestListener | undefined
  return {
    handle (request, response) {
      if (current === undefined) response.destroy()
      else current(request, response)
    },
    update (handler) {
      current = handler
    }
  }
}
