/** Updates what the gateway knows of a target when a request is sent to it. */
import type {GatewayParts} from '../gateway_parts';
import type {Target} from '../targets/target';

/** What a gateway knew when it sent a request to a cold target; written to the log. */
export interface ColdSend {
  /** Rank of the gateway among the senders to the target; 0 is the first. */
  readonly senderRank: number;
  /** Number of gateways that were ranked, including this one. */
  readonly rankedGateways: number;
}

/** The parts of a gateway that concern the start of an exchange. */
export type ExchangeStartParts = Pick<
  GatewayParts,
  'paths' | 'senderFleet' | 'settings' | 'time'
> & {
  readonly metrics: Pick<GatewayParts['metrics'], 'coldSend'>;
};

/** Updates the target's load and limits. Returns what the gateway knew if the target is cold. */
export function recordExchangeStart(
  {paths, senderFleet, settings, metrics, time}: ExchangeStartParts,
  target: Target,
): ColdSend | undefined {
  const nowMs = time.monotonicMs();
  target.load.recordStart();
  target.directives.rateLimiter.recordSend(nowMs);
  target.coldLimiter.recordSend(nowMs);
  paths.recordSend();
  if (!target.isCold(nowMs)) return undefined;
  metrics.coldSend(target.service);
  // None are ranked if the target became cold after it was chosen by a gateway that may not send by rank yet.
  const senderNames = senderFleet.names() ?? [];
  const senderRank = target.coldLimiter.rankOf(target.id, settings.value.name, senderNames);
  return {senderRank, rankedGateways: senderNames.length};
}
