/** One control round: from records, fleet document and observations to a document and actions. */
package org.lentilsail.policy.control;
