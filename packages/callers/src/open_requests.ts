/**
 * The requests of an instance whose responses have not ended, so that a stop can answer what it does not complete.
 *
 * @module
 */

/** A request whose response has not begun. */
export interface OpenRequest {
  /** Aborts the handling of the request, which then ends with a refusal that tells whether the request may have run. */
  abort (): void
  /** Answers the request as one that may have run. */
  answerUnknown (): void
}

/** Requests whose responses have not begun. */
export interface OpenRequests {
  /** Adds a request. */
  add (request: OpenRequest): void
  /** Removes a request that is being answered. */
  remove (request: OpenRequest): void
  /** Answers all requests: as not run those that were certainly not sent to a target, as unknown all others. */
  end (): Promise<void>
}

/** Time within which an aborted request is expected to end, in milliseconds. */
const abortMs = 100

/**
 * Creates an empty collection of open requests.
 *
 * @returns The collection
 */
export function createOpenRequests (): OpenRequests {
  const requests = new Set<OpenRequest>()
  return {
    add (request) { requests.add(request) },
    remove (request) { requests.delete(request) },
    async end () {
      for (const request of [...requests]) request.abort()
      await new Promise(resolve => setTimeout(resolve, abortMs))
      for (const request of [...requests]) request.answerUnknown()
    }
  }
}
