/** The operators' HTTP interface: records, fleet, explanations, state dump, metrics and health. */
package org.lentilsail.admin;
