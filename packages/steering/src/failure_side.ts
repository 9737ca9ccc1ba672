/**
 * Tells by the code of an error of the operating system on which side of a connection a failure lies.
 *
 * @module
 */

/** Side on which an attempt to connect, read or write has failed. */
export enum FailureSide {
  /** This host refuses any further connection: it has no descriptors, buffers or memory left. */
  Local = 'local',
  /** This host refuses connections to this address: no local port is left for it, or a rule or the address itself forbids it. */
  LocalAddress = 'local_address',
  /** This host has no route, or was told that there is none: its own link, the network or the machine of the other side is down. */
  Path = 'path',
  /** The other side refused or closed the connection, or nothing is known. */
  Remote = 'remote'
}

const sideByCode = new Map<string | undefined, FailureSide>(Object.entries({
  EMFILE: FailureSide.Local,
  ENFILE: FailureSide.Local,
  ENOBUFS: FailureSide.Local,
  ENOMEM: FailureSide.Local,
  EAGAIN: FailureSide.Local,
  EADDRNOTAVAIL: FailureSide.LocalAddress,
  EADDRINUSE: FailureSide.LocalAddress,
  EAFNOSUPPORT: FailureSide.LocalAddress,
  EACCES: FailureSide.LocalAddress,
  EPERM: FailureSide.LocalAddress,
  EINVAL: FailureSide.LocalAddress,
  ENETDOWN: FailureSide.Path,
  ENETUNREACH: FailureSide.Path,
  EHOSTDOWN: FailureSide.Path,
  EHOSTUNREACH: FailureSide.Path
}))

/**
 * Finds the side on which a connection failed.
 *
 * @param code Code of the error, such as `EMFILE`; `undefined` if it has none
 * @returns The side; `Remote` for any code that is not known
 */
export function getFailureSide (code: string | undefined): FailureSide {
  return sideByCode.get(code) ?? FailureSide.Remote
}

/**
 * Returns whether a failure is no evidence of the other side or of the path to it.
 *
 * @param side Side of the failure
 * @returns Whether this host alone refused the connection
 */
export function isLocalFailure (side: FailureSide): boolean {
  return side === FailureSide.Local || side === FailureSide.LocalAddress
}
