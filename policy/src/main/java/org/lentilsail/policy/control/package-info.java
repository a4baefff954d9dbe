/**
 * Control rounds: computation of the next fleet document and of actions from records, the current
 * document and observations.
 */
package org.lentilsail.policy.control;
