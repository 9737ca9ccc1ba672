/**
 * Reads connections whose requests are costly to read, such as bodies in tiny chunks and long pipelines, in turns.
 *
 * @module
 */
import type { ReadAccount, ReadPacer } from '@bilberryworks/steering'
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { createReadPacer } from '@bilberryworks/steering'
import { ReadStop, startReading, stopReading } from './stop_reading.ts'

/** Turns of the connections of an instance. */
export interface ReadTurns {
  /** Counts the small parts of a body, which must be read at once or be paused. */
  watchBody (message: IncomingMessage): void
  /** Counts a request that was received behind one whose response has not ended. */
  countPipelined (socket: Socket): void
  /** Resolves when it is the turn of a connection, or the connection has closed; never rejects. */
  waitForTurn (socket: Socket): Promise<void>
}

/** Options of {@linkcode createReadTurns}. */
export interface CreateReadTurnsOptions {
  /** Decides whose turn it is. */
  pacer?: ReadPacer
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

interface ConnectionTurn {
  account: ReadAccount
  /** Monotonic time until which the connection is not read, in milliseconds. */
  resumeAtMs: number
  timer: NodeJS.Timeout | undefined
  /** Bytes of the connection up to the read in progress. */
  readBytes: number
  /** Parts of that read that still count nothing. */
  freeParts: number
  /** Called when its turn comes. */
  waiting: Array<() => void>
}

/** Size of a part of a body that counts nothing, in bytes; shorter ones count the more the shorter they are, one byte about one unit. */
const freePartBytes = 256
/** Parts of each read that count nothing: the first and the last one may be cut off. */
const freePartsPerRead = 2
/** Units of a pipelined request: as many parts take about the time of reading and refusing one. */
const pipelinedUnits = 32
/** Units that a connection may cause at once: some dozens of pipelined requests, or a body of 2 KiB in chunks of one byte. */
const burstUnits = 2_048
/** Units that each connection may cause in a second. */
const ownUnitsPerSecond = 512
/** Units beyond that of all connections together in a second; a tenth to a fifth of the time of a core. */
const sharedUnitsPerSecond = 65_536

/**
 * Creates the turns of the connections of an instance.
 *
 * @param options Pacer and clock
 * @returns The turns
 */
export function createReadTurns ({ pacer = createReadPacer({ burstUnits, ownUnitsPerSecond, sharedUnitsPerSecond }), getNowMs }: CreateReadTurnsOptions): ReadTurns {
  const turns = new WeakMap<Socket, ConnectionTurn>()

  function getTurn (socket: Socket): ConnectionTurn {
    const known = turns.get(socket)
    if (known !== undefined) return known
    const turn: ConnectionTurn = { account: pacer.createAccount(getNowMs()), resumeAtMs: -Infinity, timer: undefined, readBytes: -1, freeParts: 0, waiting: [] }
    turns.set(socket, turn)
    socket.once('close', () => finishTurn(socket, turn))
    return turn
  }

  function finishTurn (socket: Socket, turn: ConnectionTurn): void {
    clearTimeout(turn.timer)
    turn.timer = undefined
    startReading(socket, ReadStop.Turn)
    for (const resolve of turn.waiting.splice(0)) resolve()
  }

  function waitOn (socket: Socket, turn: ConnectionTurn): void {
    const leftMs = turn.resumeAtMs - getNowMs()
    if (leftMs <= 0) finishTurn(socket, turn)
    else turn.timer = setTimeout(waitOn, Math.ceil(leftMs), socket, turn)
  }

  function chargeUnits (socket: Socket, units: number): void {
    const turn = getTurn(socket)
    const nowMs = getNowMs()
    const waitMs = pacer.charge(turn.account, units, nowMs)
    if (waitMs <= 0 || socket.destroyed) return
    turn.resumeAtMs = nowMs + waitMs
    if (turn.timer !== undefined) return
    stopReading(socket, ReadStop.Turn)
    waitOn(socket, turn)
  }

  function countPart (socket: Socket, bytes: number): void {
    if (bytes >= freePartBytes) return
    const turn = getTurn(socket)
    const { bytesRead } = socket
    if (bytesRead !== turn.readBytes) {
      turn.readBytes = bytesRead
      turn.freeParts = freePartsPerRead
    }
    if (turn.freeParts-- > 0) return
    chargeUnits(socket, 1 - bytes / freePartBytes)
  }

  return {
    watchBody (message) {
      message.on('data', (part: Buffer) => countPart(message.socket, part.length))
    },
    countPipelined: socket => chargeUnits(socket, pipelinedUnits),
    waitForTurn: socket => new Promise(resolve => {
      const turn = turns.get(socket)
      if (turn?.timer === undefined) resolve()
      else turn.waiting.push(resolve)
    })
  }
}
